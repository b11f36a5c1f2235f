#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "leases/run_events.h"
#include "tests/one_run/virtual_time.h"

namespace wagtail::leased {

/// A target that keeps leases, fences and lists of ends, on a clock that may run slow.
class fake_leased_target {
 public:
  using run_hook = std::function<void(const task_ref&)>;
  using renew_hook = std::function<void(std::optional<target_report>, renew_failure)>;

  struct settings {
    std::string id = "target";
    task_resources capacity{.cpu = 40'000, .mem_mb = 100'000, .gpu = 0};
    double clock_rate = 0.98;  ///< of the target's clock against true time
    duration run_time = std::chrono::milliseconds(200);
    /// Where set, how long a run of this task takes.
    std::function<duration(const task_ref&)> run_time_of{};
    duration stop_time = std::chrono::milliseconds(50);
    int64_t max_lease_ms = 1000;
    bool keeps_id = false;  ///< the next life has the same id
  };

  /// @param began called when a run begins
  /// @param over called when it is over, however it ended
  fake_leased_target(virtual_time& time, settings settings, run_hook began, run_hook over);

  target_announcement Announcement();
  int64_t ClockMs() const;
  std::string Id() const;
  /// Ends everything at once; nothing is known in the next life.
  void Crash();
  void Restart();
  bool up() const { return up_; }

  start_answer Start(const start_call& call);
  void Stop(const stop_call& call);
  /// @param answer called at once or when an end comes, at the latest after the call's wait
  void Renew(const renew_call& call, renew_hook answer);

  /// Share of runs that fail.
  double failing = 0;

 private:
  struct running {
    uint32_t run = 0;
    uint64_t generation = 0;
    bool stopping = false;
  };
  struct waiting_renewal {
    uint64_t last_end = 0;
    renew_hook answer;
  };

  bool Fenced(uint64_t fence);
  void Lease(int64_t until_ms);
  void CheckLease(uint64_t life);
  void End(const task_ref& task, uint32_t run, end_kind kind);
  void AnswerWaiting();
  target_report Report() const;

  virtual_time& time_;
  settings settings_;
  run_hook began_;
  run_hook over_;
  bool up_ = true;
  uint64_t life_ = 1;
  instant born_;
  int64_t lease_until_ms_ = 0;
  uint64_t fence_ = 0;
  uint64_t announcements_ = 0;
  uint64_t next_end_ = 1;
  uint64_t next_generation_ = 1;
  std::map<task_ref, running> running_;
  std::map<task_ref, uint32_t> highest_run_;
  std::vector<reported_end> ended_;
  std::vector<waiting_renewal> waiting_;
};

}  // namespace wagtail::leased
