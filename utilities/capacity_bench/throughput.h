#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace wagtail {

struct throughput_options {
  uint32_t targets = 12;
  uint32_t slots = 8;  ///< of each target
  uint32_t job_tasks = 8;
  uint32_t body_bytes = 64;  ///< of each task and of its answer
  duration warm_up = std::chrono::milliseconds(500);
  duration measured = std::chrono::seconds(2);  ///< at full load, and again at half load
};

struct throughput_result {
  uint32_t targets = 0;
  uint32_t job_tasks = 0;
  double starts_per_second = 0;   ///< by the wall clock, at full load
  double entry_us_per_task = 0;   ///< processor time of the entry's loop
  double target_us_per_task = 0;  ///< processor time of the loop of all fake targets
  double starts_per_entry_cpu_second = 0;
  double refused_per_task = 0;
  double half_load_starts_per_second = 0;
  double half_load_entry_us_per_task = 0;
  double half_load_p50_ms = 0;  ///< from submission to the whole answer, per job
  double half_load_p99_ms = 0;
};

/// Runs jobs through one entry's dispatch_controller to fake targets over loopback connections.
throughput_result MeasureThroughput(const throughput_options& options);

}  // namespace wagtail
