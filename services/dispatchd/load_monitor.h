#pragma once

#include <cstdint>

#include "base/time.h"
#include "metrics/metrics_registry.h"

/// @file
/// Tells whether an entry has enough processor time, and which work takes it. Used on the thread of
/// the event loop only.

namespace wagtail::leased {

class load_monitor {
 public:
  /// @param registry gets the metrics of the same observations; outlives the watch
  load_monitor(metrics_registry& registry, instant now);

  /// A job reached the board.
  /// @param waited since the request arrived
  void Admitted(duration waited);
  /// A timer of the loop ran.
  /// @param late by how much
  void Ticked(duration late);
  /// An agent's report was taken.
  void OnReport();
  /// Orders or stops of one turn went to one agent.
  void Ordered();
  /// Writes the fact `processor_use` once a second.
  /// @param refused_busy requests refused so far since the entry was behind
  void Tell(instant now, uint64_t refused_busy);

 private:
  /// Since the last fact.
  struct span {
    uint64_t jobs = 0;
    uint64_t reports = 0;
    uint64_t orders = 0;
    duration longest_admission{0};
    duration longest_delay{0};
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
  instant told_;
  processor_time used_;
  span span_;
  uint64_t refused_busy_ = 0;  ///< when last told
};

}  // namespace wagtail::leased
