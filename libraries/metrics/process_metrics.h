#pragma once

#include "metrics/metrics_registry.h"

namespace wagtail {

/// Adds the standard process metrics: process_cpu_seconds_total,
/// process_resident_memory_bytes, process_open_fds, process_threads and process_start_time_seconds,
/// updated at each exposition.
/// @param registry must live as long as it is written
void AddProcessMetrics(metrics_registry& registry);

}  // namespace wagtail
