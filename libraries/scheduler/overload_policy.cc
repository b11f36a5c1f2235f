#include "scheduler/overload_policy.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <queue>
#include <tuple>

namespace wagtail::leased {
namespace {

duration TimeFor(double work, double capacity) {
  constexpr duration kForever = std::chrono::hours(24);
  constexpr double kLongest = 1e10;  // microseconds; more would not fit into a duration
  if (work <= 0) {
    return duration::zero();
  }
  return capacity > 0 && work / capacity < kLongest
             ? duration(static_cast<int64_t>(work / capacity))
             : kForever;
}

/// Sorts one set of jobs into those to serve in time and those to delay.
class job_sorter {
 public:
  job_sorter(std::span<const waiting_job> jobs, const overload_options& options)
      : jobs_(jobs), options_(options) {}

  std::vector<job_decision> Decide(const overload_capacity& capacity, instant now) {
    double work = 0;
    for (const waiting_job& job : jobs_) {
      highest_priority_ = std::min(highest_priority_, job.priority);
      work += job.work;
    }
    all_started_ = now + TimeFor(work, capacity.total);
    SortByLatestStart();
    SelectDelayed(capacity.total, now);
    AddInTime(capacity.total);
    AddDelayed(capacity, now);
    return std::move(decisions_);
  }

 private:
  bool IsHighest(const waiting_job& job) const { return job.priority == highest_priority_; }

  /// @return share of its queue's jobs that were refused, relative to what its priority allows
  double WeightedLoss(const waiting_job& job) const {
    unsigned levels = job.priority - highest_priority_;
    return (1 - job.queue_served) / std::pow(options_.loss_ratio, levels);
  }

  /// Orders jobs by how little it costs callers to delay them; the job with the largest rank is
  /// delayed first.
  auto DelayRank(size_t index) const {
    const waiting_job& job = jobs_[index];
    bool stays_useful = all_started_ <= job.last_start;
    return std::tuple(!IsHighest(job), stays_useful, -WeightedLoss(job), job.priority,
                      job.queue_work, job.arrived, job.id);
  }

  void SortByLatestStart() {
    order_.resize(jobs_.size());
    std::iota(order_.begin(), order_.end(), size_t{0});
    std::ranges::sort(order_, {}, [this](size_t index) {
      const waiting_job& job = jobs_[index];
      return std::tuple(!job.begun, job.latest_start, job.priority, job.id);
    });
    is_delayed_.assign(jobs_.size(), false);
  }

  void SelectDelayed(double capacity, instant now) {
    auto cheaper = [this](size_t one, size_t other) { return DelayRank(one) < DelayRank(other); };
    std::priority_queue<size_t, std::vector<size_t>, decltype(cheaper)> candidates(cheaper);
    double before = 0;  // work of the jobs placed earlier
    for (size_t index : order_) {
      const waiting_job& job = jobs_[index];
      if (job.begun) {
        before += job.work;
        continue;
      }
      if (job.latest_start < now) {
        is_delayed_[index] = true;  // late already, whatever gives way to it
        continue;
      }
      candidates.push(index);
      duration limit = Scaled(job.latest_start - now, options_.max_wait_fraction);
      while (!is_delayed_[index] && TimeFor(before, capacity) > limit) {
        size_t delayed = candidates.top();
        candidates.pop();
        is_delayed_[delayed] = true;
        before -= delayed == index ? 0 : jobs_[delayed].work;
      }
      before += is_delayed_[index] ? 0 : job.work;
    }
  }

  void AddInTime(double capacity) {
    for (size_t index : order_) {
      if (is_delayed_[index]) {
        continue;
      }
      decisions_.push_back({.index = index,
                            .verdict = service_class::kInTime,
                            .expected_wait = TimeFor(work_before_, capacity)});
      work_before_ += jobs_[index].work;
    }
  }

  void AddDelayed(const overload_capacity& capacity, instant now) {
    std::vector<size_t> delayed;
    std::ranges::copy_if(order_, std::back_inserter(delayed),
                         [this](size_t index) { return is_delayed_[index]; });
    std::ranges::sort(delayed, {}, [this](size_t index) {
      const waiting_job& job = jobs_[index];
      return std::tuple(!IsHighest(job), -WeightedLoss(job), job.priority, job.last_start, job.id);
    });
    duration in_time_wait = TimeFor(work_before_, capacity.total);
    double before = 0;
    size_t count = 0;
    for (size_t index : delayed) {
      const waiting_job& job = jobs_[index];
      duration wait =
          in_time_wait + TimeFor(before, job.accepted ? capacity.total : capacity.spare);
      bool fits = now + wait <= job.last_start && count < options_.max_delayed_jobs;
      decisions_.push_back({.index = index,
                            .verdict = fits ? service_class::kDelayed : service_class::kRefused,
                            .expected_wait = wait});
      before += fits ? job.work : 0;
      count += fits ? 1 : 0;
    }
  }

  std::span<const waiting_job> jobs_;
  const overload_options& options_;
  unsigned highest_priority_ = std::numeric_limits<unsigned>::max();
  instant all_started_;        ///< when all waiting jobs are expected to have started
  std::vector<size_t> order_;  ///< indexes by latest start
  std::vector<bool> is_delayed_;
  std::vector<job_decision> decisions_;
  double work_before_ = 0;
};

}  // namespace

overload_policy MakeOverloadPolicy(const overload_options& options) {
  return [options](std::span<const waiting_job> jobs, const overload_capacity& capacity,
                   instant now) { return job_sorter(jobs, options).Decide(capacity, now); };
}

}  // namespace wagtail::leased
