#include "scheduler/overload_policy.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <queue>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

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

/// A job that can be delayed. Those that compare greater cost callers less to delay.
struct delay_candidate {
  bool is_urgent = false;
  double weighted_loss = 0;
  unsigned priority = 0;
  double queue_work = 0;
  instant arrived{};
  std::string_view id;
  size_t index = 0;

  bool operator<(const delay_candidate& other) const {
    return std::tuple(!is_urgent, -weighted_loss, priority, queue_work, arrived, id) <
           std::tuple(!other.is_urgent, -other.weighted_loss, other.priority, other.queue_work,
                      other.arrived, other.id);
  }
};

/// Sorts one set of jobs into those to serve in time and those to delay.
class job_sorter {
 public:
  job_sorter(std::span<const waiting_job> jobs, const overload_options& options)
      : jobs_(jobs), options_(options) {}

  std::vector<job_decision> Decide(const overload_capacity& capacity, instant now) {
    SortByLatestStart();
    SelectDelayed(capacity.total, now);
    AddInTime(capacity.total);
    AddDelayed(capacity, now);
    return std::move(decisions_);
  }

 private:
  bool IsUrgent(const waiting_job& job) const { return job.priority == 0; }

  /// @return share of its queue's jobs that were refused, relative to what its priority allows
  double WeightedLoss(const waiting_job& job) const {
    return (1 - job.queue_served) / std::pow(options_.loss_ratio, job.priority);
  }

  delay_candidate CandidateOf(size_t index) const {
    const waiting_job& job = jobs_[index];
    return {.is_urgent = IsUrgent(job),
            .weighted_loss = WeightedLoss(job),
            .priority = job.priority,
            .queue_work = job.queue_work,
            .arrived = job.arrived,
            .id = job.id,
            .index = index};
  }

  void SortByLatestStart() {
    order_.resize(jobs_.size());
    std::iota(order_.begin(), order_.end(), size_t{0});
    std::ranges::sort(order_, {}, [this](size_t index) {
      const waiting_job& job = jobs_[index];
      return std::tuple(job.latest_start, job.priority, job.id);
    });
    is_delayed_.assign(jobs_.size(), false);
  }

  void SelectDelayed(double capacity, instant now) {
    work_before_ = 0;
    for (size_t index : order_) {
      const waiting_job& job = jobs_[index];
      // A job that was delayed stays behind: otherwise late jobs would make others late.
      is_delayed_[index] = !job.begun && (job.delayed || job.latest_start < now);
      if (is_delayed_[index]) {
        continue;
      }
      if (!job.begun) {
        candidates_.push(CandidateOf(index));
      }
      bool needs_room = !job.begun && (IsUrgent(job) || !job.accepted);
      if (needs_room) {
        MakeRoomFor(index, capacity, now);
      }
      work_before_ += is_delayed_[index] ? 0 : job.work;
    }
  }

  /// Delays the jobs that cost callers least until the expected wait of this one is short enough.
  void MakeRoomFor(size_t index, double capacity, instant now) {
    duration limit = Scaled(jobs_[index].latest_start - now, options_.max_wait_fraction);
    while (!is_delayed_[index] && TimeFor(work_before_, capacity) > limit) {
      size_t delayed = candidates_.top().index;
      candidates_.pop();
      is_delayed_[delayed] = true;
      work_before_ -= delayed == index ? 0 : jobs_[delayed].work;
    }
  }

  void AddInTime(double capacity) {
    work_before_ = 0;
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
      return std::tuple(!IsUrgent(job), -WeightedLoss(job), job.priority, job.last_start, job.id);
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
  instant all_started_;        ///< when all waiting jobs are expected to have started
  std::vector<size_t> order_;  ///< indexes by latest start
  std::vector<bool> is_delayed_;
  std::priority_queue<delay_candidate> candidates_;  ///< on top the one that costs least to delay
  std::vector<job_decision> decisions_;
  double work_before_ = 0;  ///< of the jobs that are placed before the current one
};

}  // namespace

overload_policy MakeOverloadPolicy(const overload_options& options) {
  return [options](std::span<const waiting_job> jobs, const overload_capacity& capacity,
                   instant now) { return job_sorter(jobs, options).Decide(capacity, now); };
}

}  // namespace wagtail::leased
