#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "base/time.h"
#include "leases/run_events.h"
#include "leases/task_ref.h"

namespace wagtail::leased {

struct crash_ledger_options {
  /// A task is given up after this many crashes that it is suspected of.
  unsigned max_suspected = 2;
  /// A task is given up after this many crashes of any kind: its caller has no more time, and one
  /// that crashes targets late in its run is never suspected.
  unsigned max_crashes = 4;
  /// Crashes are forgotten after this time without a further one of the task. Longer than callers
  /// go on sending a job again.
  duration memory = std::chrono::seconds(30);
  /// Maximum number of tasks; beyond it the oldest is forgotten.
  size_t max_tasks = 4096;
};

/// Crashes of targets by the tasks that ran there. Handles tasks that crash every target on which
/// they start: they are given up before they take many targets from all other callers. It outlives
/// the jobs, since the same job may come again. Uses no sockets, threads or clocks.
class crash_ledger {
 public:
  struct record {
    unsigned suspected = 0;
    unsigned crashes = 0;  ///< including the suspected ones
    instant last{};
  };

  explicit crash_ledger(const crash_ledger_options& options = {}) : options_(options) {}

  /// @return all that is known of the task, this crash included
  record OnCrash(const task_crash& crash, instant now);
  /// @return whether the task is suspected of a crash
  bool IsSuspected(const task_ref& task) const;
  /// @return whether a task of this job is not to be started again
  bool HasExhaustedTask(const std::string& job) const;

 private:
  bool IsExhausted(const record& known) const;
  void Forget(instant now);

  crash_ledger_options options_;
  std::map<task_ref, record> tasks_;
};

}  // namespace wagtail::leased
