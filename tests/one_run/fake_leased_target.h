#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "leases/run_events.h"
#include "tests/one_run/virtual_time.h"

namespace wagtail::leased {

/// Fake target with leases, fences and lists of ended runs, on a clock that may run slow.
class fake_leased_target {
 public:
  using run_hook = std::function<void(const task_ref&)>;
  using renew_hook = std::function<void(std::optional<target_report>, renew_failure)>;

  struct settings {
    std::string id = "target";
    task_resources capacity{.cpu = 40'000, .mem_mb = 100'000, .gpu = 0};
    double clock_rate = 0.98;  ///< rate of the target's clock relative to true time
    duration run_time = std::chrono::milliseconds(200);
    /// If set, the duration of a run of the given task; overrides `run_time`.
    std::function<duration(const task_ref&)> run_time_of{};
    duration stop_time = std::chrono::milliseconds(50);
    int64_t max_lease_ms = 1000;
    bool keeps_id = false;  ///< the next incarnation has the same id
  };

  /// @param on_start called when a run begins
  /// @param on_end called when a run ends for any reason
  fake_leased_target(virtual_time& time, settings settings, run_hook on_start, run_hook on_end);

  target_announcement Announcement();
  int64_t ClockMs() const;
  std::string Id() const;
  /// Ends all runs at once; the next incarnation retains no state.
  void Crash();
  /// As Crash, and breaks the connections on which renewals wait.
  void CrashAndResetConnections();
  void Restart();
  bool up() const { return up_; }
  /// @return number of the present incarnation, or of the next one while the target is down
  uint64_t incarnation() const { return incarnation_; }

  start_answer Start(const start_call& call);
  void Stop(const stop_call& call);
  /// @param answer called at once, or when a run ends, or after the call's wait
  void Renew(const renew_call& call, renew_hook answer);

  /// Share of runs that fail.
  double failing = 0;

 private:
  struct running {
    uint32_t run = 0;
    uint64_t generation = 0;
    bool stopping = false;
  };
  struct pending_renewal {
    uint64_t last_end = 0;
    renew_hook answer;
  };

  bool Fenced(uint64_t fence);
  void ExtendLease(int64_t until_ms);
  void ExpireLease(uint64_t incarnation);
  void End(const task_ref& task, uint32_t run, end_kind kind);
  void AnswerPendingRenewals();
  target_report Report() const;

  virtual_time& time_;
  settings settings_;
  run_hook on_start_;
  run_hook on_end_;
  bool up_ = true;
  uint64_t incarnation_ = 1;
  instant start_time_;
  int64_t lease_until_ms_ = 0;
  uint64_t fence_ = 0;
  uint64_t announcements_ = 0;
  uint64_t next_end_ = 1;
  uint64_t next_generation_ = 1;
  std::map<task_ref, running> running_;
  std::map<task_ref, uint32_t> highest_run_;
  std::vector<reported_end> ended_;
  std::vector<pending_renewal> pending_renewals_;
};

}  // namespace wagtail::leased
