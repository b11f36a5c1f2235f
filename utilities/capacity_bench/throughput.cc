#include "utilities/capacity_bench/throughput.h"

#include <algorithm>
#include <cstdio>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/verify.h"
#include "entry/dispatch_controller.h"
#include "placement/placement_options.h"
#include "utilities/capacity_bench/fake_targets.h"
#include "utilities/capacity_bench/usage.h"

namespace wagtail {

namespace {

constexpr std::string_view kClusterKey = "a-cluster-key-for-the-bench";
constexpr duration kPoll = std::chrono::milliseconds(5);
constexpr duration kPace = std::chrono::milliseconds(1);  // between two looks at the open loop
constexpr duration kJobDeadline = std::chrono::seconds(60);
constexpr int kLinkPolls = 2000;
constexpr double kHalf = 0.5;
constexpr double kP50 = 0.50;
constexpr double kP99 = 0.99;

// The targets on a loop of their own, so that both ends' processor time is told apart.
class target_side {
 public:
  explicit target_side(const throughput_options& options) {
    fake_target_options each{.slots = options.slots, .cluster_key = std::string(kClusterKey)};
    loop_.Run([this, &options, &each] {
      for (uint32_t number = 0; number < options.targets; ++number) {
        targets_.push_back(
            std::make_unique<fake_target>(loop_, absl::StrCat("target-", number), each));
      }
    });
    for (auto& target : targets_) {
      std::promise<void> listening;
      loop_.Post([this, &target, &listening] {
        loop_.Detach(target->Listen().then([&listening] { listening.set_value(); }));
      });
      listening.get_future().wait();
    }
  }
  ~target_side() {
    loop_.Stop([this] { targets_.clear(); });
  }

  event_loop& loop() { return loop_; }
  std::vector<target_row> Rows() {
    std::vector<target_row> rows;
    loop_.Run([this, &rows] {
      for (const auto& target : targets_) {
        rows.push_back(target->Row());
      }
    });
    return rows;
  }

 private:
  event_loop loop_;
  std::vector<std::unique_ptr<fake_target>> targets_;
};

// The entry: jobs are handed to its loop as an HTTP thread of the daemon does it.
class entry_side {
 public:
  entry_side(const throughput_options& options, const std::vector<target_row>& rows)
      : options_(options) {
    loop_.Run([this, &rows] {
      controller_ = std::make_unique<dispatch_controller>(
          loop_, ControllerOptions(), MakePlacement(PlacementOptions()),
          [](const target_row&, const target_report&) {
            return target_policy{.configuration_version = 1, .admitted = true};
          });
      for (const target_row& row : rows) {
        controller_->OnTargetRow(row, 0);
      }
    });
    WaitForLinks(rows.size());
  }
  ~entry_side() {
    loop_.Stop([this] { controller_.reset(); });
  }

  event_loop& loop() { return loop_; }

  // Closed loop: every answered job is followed by another until Drain().
  void KeepInFlight(uint32_t jobs) {
    loop_.Run([this, jobs] {
      refill_ = true;
      for (uint32_t number = 0; number < jobs; ++number) {
        SubmitOne();
      }
    });
  }
  // Open loop: jobs arrive at even intervals whatever becomes of the earlier ones.
  void Arrive(double jobs_per_second) {
    loop_.Run([this, jobs_per_second] {
      arrivals_per_second_ = jobs_per_second;
      arrivals_began_ = MonotonicNow();
      arrived_ = 0;
      Pace();
    });
  }
  void Drain() {
    size_t open = 1;
    while (open > 0) {
      loop_.Run([this, &open] {
        refill_ = false;
        arrivals_per_second_ = 0;
        open = controller_->decisions().jobs_in_progress();
      });
      std::this_thread::sleep_for(kPoll);
    }
  }
  dispatcher_counters Counters() {
    dispatcher_counters counters;
    loop_.Run([this, &counters] { counters = controller_->decisions().counters(); });
    return counters;
  }
  std::vector<duration> TakeResponseTimes() {
    std::vector<duration> times;
    loop_.Run([this, &times] { times = std::exchange(response_times_, {}); });
    return times;
  }

 private:
  static dispatch_controller_options ControllerOptions() {
    dispatch_controller_options options;
    options.cluster_key = kClusterKey;
    options.self = {.nonce = 1};
    options.self_name = "entry-1";
    // The bench ends in seconds more jobs than an entry ends in minutes.
    options.dispatcher.jobs.max_jobs = 5'000'000;
    return options;
  }

  static placement_options PlacementOptions() {
    placement_options options;
    options.failure_domain = "zone-1";
    return options;
  }

  void WaitForLinks(size_t wanted) {
    size_t up = 0;
    for (int poll = 0; poll < kLinkPolls && up < wanted; ++poll) {
      loop_.Run([this, &up] {
        up = static_cast<size_t>(
            std::ranges::count_if(controller_->Targets(), &target_status::is_up));
      });
      std::this_thread::sleep_for(kPoll);
    }
    VERIFY(up == wanted);
  }

  void SubmitOne() {
    instant began = MonotonicNow();
    job_submission job;
    job.key = {.owner = {.nonce = 1}, .sequence = ++sequence_};
    job.team = "bench";
    job.digest = sequence_;
    job.minted_uptime_ms = controller_->UptimeMs();
    job.deadline = began + kJobDeadline;
    job.tasks.assign(options_.job_tasks, {.service = std::string(kBenchService),
                                          .body = std::string(options_.body_bytes, 'x'),
                                          .timeout = kJobDeadline});
    controller_->Submit(std::move(job), [this, began](const job_answer& answer) {
      VERIFY(answer.outcome == job_outcome::kComplete);
      response_times_.push_back(MonotonicNow() - began);
      if (refill_) {
        loop_.Post([this] { SubmitOne(); });
      }
    });
  }

  void Pace() {
    if (arrivals_per_second_ <= 0) {
      return;
    }
    auto due =
        static_cast<uint64_t>(ToSeconds(MonotonicNow() - arrivals_began_) * arrivals_per_second_);
    for (; arrived_ < due; ++arrived_) {
      SubmitOne();
    }
    loop_.After(kPace, [this] { Pace(); });
  }

  throughput_options options_;
  event_loop loop_;
  std::unique_ptr<dispatch_controller> controller_;
  uint64_t sequence_ = 0;
  bool refill_ = false;
  double arrivals_per_second_ = 0;
  instant arrivals_began_{};
  uint64_t arrived_ = 0;
  std::vector<duration> response_times_;
};

struct sample {
  instant at{};
  duration entry{};
  duration targets{};
  dispatcher_counters counters;
};

sample TakeSample(entry_side& entry, target_side& targets) {
  return {.at = MonotonicNow(),
          .entry = TimeOfLoop(entry.loop()),
          .targets = TimeOfLoop(targets.loop()),
          .counters = entry.Counters()};
}

double Quantile(std::vector<duration>& times, double quantile) {
  if (times.empty()) {
    return 0;
  }
  auto position =
      times.begin() + static_cast<std::ptrdiff_t>(quantile * static_cast<double>(times.size() - 1));
  std::ranges::nth_element(times, position);
  return std::chrono::duration<double, std::milli>(*position).count();
}

}  // namespace

throughput_result MeasureThroughput(const throughput_options& options) {
  target_side targets(options);
  entry_side entry(options, targets.Rows());
  uint32_t all_slots = options.targets * options.slots;
  uint32_t jobs_in_flight = std::max(2U, (all_slots + options.job_tasks - 1) / options.job_tasks);

  entry.KeepInFlight(jobs_in_flight);
  std::this_thread::sleep_for(options.warm_up);
  sample before = TakeSample(entry, targets);
  std::this_thread::sleep_for(options.measured);
  sample after = TakeSample(entry, targets);
  entry.Drain();
  entry.TakeResponseTimes();

  auto tasks = static_cast<double>(after.counters.tasks_sent - before.counters.tasks_sent);
  auto per_task = [tasks](duration used) { return static_cast<double>(used.count()) / tasks; };
  throughput_result result{.targets = options.targets, .job_tasks = options.job_tasks};
  result.starts_per_second = tasks / ToSeconds(after.at - before.at);
  result.entry_us_per_task = per_task(after.entry - before.entry);
  result.target_us_per_task = per_task(after.targets - before.targets);
  result.starts_per_entry_cpu_second = 1e6 / result.entry_us_per_task;
  result.refused_per_task =
      static_cast<double>(after.counters.tasks_refused - before.counters.tasks_refused) / tasks;

  entry.Arrive(kHalf * result.starts_per_second / options.job_tasks);
  std::this_thread::sleep_for(options.warm_up);
  entry.TakeResponseTimes();
  sample half_before = TakeSample(entry, targets);
  std::this_thread::sleep_for(options.measured);
  sample half_after = TakeSample(entry, targets);
  std::vector<duration> times = entry.TakeResponseTimes();
  entry.Drain();
  auto half_tasks =
      static_cast<double>(half_after.counters.tasks_sent - half_before.counters.tasks_sent);
  result.half_load_starts_per_second = half_tasks / ToSeconds(half_after.at - half_before.at);
  result.half_load_entry_us_per_task =
      static_cast<double>((half_after.entry - half_before.entry).count()) / half_tasks;
  result.half_load_p50_ms = Quantile(times, kP50);
  result.half_load_p99_ms = Quantile(times, kP99);
  return result;
}

}  // namespace wagtail
