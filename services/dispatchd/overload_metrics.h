#pragma once

#include "metrics/metrics_registry.h"
#include "scheduler/scheduler_events.h"

namespace wagtail::leased {

/// Counts by queue what the overload policy decided. Used on the thread of the event loop only.
class overload_metrics {
 public:
  /// @param registry must outlive the object
  explicit overload_metrics(metrics_registry& registry);

  void OnJobEvent(const job_log_event& event);

 private:
  family<counter>* delayed_;
  family<counter>* displaced_;
};

}  // namespace wagtail::leased
