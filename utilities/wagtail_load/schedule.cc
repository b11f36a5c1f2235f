#include "wagtail_load/schedule.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <random>
#include <span>

#include "wagtail_load/load_error.h"

namespace wagtail {

namespace {

/// Draws that depend on the seed only; the standard distributions differ between libraries.
class random_source {
 public:
  explicit random_source(uint64_t seed) : engine_(seed) {}

  /// @return evenly spread in [0, 1)
  double Fraction() {
    constexpr int kMantissaBits = 53;
    return std::ldexp(static_cast<double>(engine_() >> (64 - kMantissaBits)), -kMantissaBits);
  }

  /// @return an exponentially distributed value with this mean
  double Exponential(double mean) { return -mean * std::log1p(-Fraction()); }

  /// @return an item, each as often as its weight says
  template <typename Share>
  const Share& Pick(const std::vector<Share>& shares) {
    double total =
        std::accumulate(shares.begin(), shares.end(), 0.0,
                        [](double sum, const Share& share) { return sum + share.weight; });
    double left = Fraction() * total;
    auto found = std::ranges::find_if(shares, [&](const Share& share) {
      left -= share.weight;
      return left < 0;
    });
    return found == shares.end() ? shares.back() : *found;
  }

 private:
  std::mt19937_64 engine_;
};

/// Walks through the phases with arrivals at the rate of each.
class arrival_times {
 public:
  arrival_times(const load_scenario& plan, random_source& random) : plan_(plan), random_(random) {}

  /// @return the next arrival, or nothing when the run is over
  std::optional<duration> Next() {
    double needed = random_.Exponential(1);  // in units of expected arrivals
    while (phase_ < plan_.arrivals.size()) {
      double rate = plan_.arrivals[phase_].jobs_per_second;
      double room = (ToSeconds(EndOfPhase()) - seconds_) * rate;
      if (needed < room) {
        seconds_ += needed / rate;
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds_));
      }
      needed -= std::max(0.0, room);
      seconds_ = std::max(seconds_, ToSeconds(EndOfPhase()));
      ++phase_;
    }
    return std::nullopt;
  }

 private:
  duration EndOfPhase() const {
    bool last = phase_ + 1 == plan_.arrivals.size();
    return last ? plan_.length : std::min(plan_.length, plan_.arrivals[phase_ + 1].from);
  }

  const load_scenario& plan_;
  random_source& random_;
  size_t phase_ = 0;
  double seconds_ = 0;
};

planned_task DrawTask(const load_scenario& plan, random_source& random) {
  const service_share& service = random.Pick(plan.services);
  const run_time_share& span = random.Pick(plan.run_times);
  auto least = ToMilliseconds(span.least);
  auto width = ToMilliseconds(span.most) - least + 1;
  auto extra = static_cast<int64_t>(random.Fraction() * static_cast<double>(width));
  return {.service = static_cast<uint32_t>(&service - plan.services.data()),
          .run_ms = static_cast<uint32_t>(least + extra)};
}

planned_job DrawJob(const load_scenario& plan, duration at, random_source& random) {
  planned_job job{.at = at};
  job.entry = static_cast<uint32_t>(random.Fraction() * static_cast<double>(plan.entries.size()));
  job.resubmitted = random.Fraction() < plan.resubmitted_share;
  job.tasks.resize(random.Pick(plan.job_sizes).tasks);
  std::ranges::generate(job.tasks, [&] { return DrawTask(plan, random); });
  return job;
}

}  // namespace

absl::StatusOr<std::vector<planned_job>> MakeSchedule(const load_scenario& plan) {
  random_source random(plan.seed);
  arrival_times arrivals(plan, random);
  std::vector<planned_job> jobs;
  size_t tasks = 0;
  for (auto at = arrivals.Next(); at.has_value(); at = arrivals.Next()) {
    jobs.push_back(DrawJob(plan, *at, random));
    tasks += jobs.back().tasks.size();
    if (tasks > kMaxPlannedTasks) {
      return MakeError(load_error::kTooMuchWork, "the scenario plans more than " +
                                                     std::to_string(kMaxPlannedTasks) + " tasks");
    }
  }
  return jobs;
}

duration IdealResponse(const planned_job& job, const ideal_model& ideal) {
  uint32_t longest = std::ranges::max(job.tasks, {}, &planned_task::run_ms).run_ms;
  std::chrono::duration<double, std::milli> fastest(longest / ideal.fastest_speed);
  return ideal.overhead + std::chrono::duration_cast<duration>(fastest);
}

double WorkOf(const planned_job& job) {
  constexpr double kMillisecondsPerSecond = 1000;
  uint64_t sum =
      std::accumulate(job.tasks.begin(), job.tasks.end(), uint64_t{0},
                      [](uint64_t total, const planned_task& task) { return total + task.run_ms; });
  return static_cast<double>(sum) / kMillisecondsPerSecond;
}

}  // namespace wagtail
