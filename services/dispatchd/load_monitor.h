#pragma once

#include <cstdint>

#include "base/time.h"
#include "metrics/metrics_registry.h"

/// @file
/// Monitors whether an entry has enough processor time, and which work takes it. Used on the thread
/// of the event loop only.

namespace wagtail::leased {

class load_monitor {
 public:
  /// @param registry receives the same observations as metrics; must outlive the monitor
  load_monitor(metrics_registry& registry, instant now);

  /// A job was passed to the scheduler.
  /// @param waited since the request arrived
  void OnJobAdmitted(duration waited);
  /// A timer of the loop ran.
  /// @param lateness time since the timer was due
  void OnTick(duration lateness);
  /// An agent's report was received.
  void OnReport();
  /// A batch of orders was passed on for an agent.
  void OnOrdersSent();
  /// What other parts of the entry have counted since the start, and their state.
  struct entry_totals {
    uint64_t refused_busy = 0;  ///< requests refused because the entry was overloaded
    uint64_t plan_copies = 0;   ///< copies of the plan sent to agents
    uint64_t plan_version = 0;  ///< version in use
    instant store_answered{};   ///< when the store last answered about the plan
  };
  /// Writes the fact `processor_use` once a second.
  void LogUsage(instant now, const entry_totals& totals);

 private:
  /// Since the last fact.
  struct interval_totals {
    uint64_t jobs = 0;
    uint64_t reports = 0;
    uint64_t orders = 0;
    duration max_admission_delay{0};
    duration max_loop_delay{0};
  };
  /// Processor time since the start.
  struct processor_time {
    duration process{0};
    duration loop{0};  ///< of the thread of the event loop
  };

  static processor_time ProcessorTime();

  histogram* admission_seconds_;
  histogram* loop_delay_seconds_;
  counter* reports_;
  counter* orders_;
  counter* loop_cpu_seconds_;
  instant last_logged_;
  processor_time last_processor_time_;
  interval_totals interval_;
  entry_totals last_totals_;  ///< at the last log line
};

}  // namespace wagtail::leased
