#include "services/dispatchd/overload_metrics.h"

#include <string>

namespace wagtail::leased {

overload_metrics::overload_metrics(metrics_registry& registry)
    : delayed_(&registry.Counters("wagtail_entry_jobs_delayed_total",
                                  "Jobs that others went before, as they were not expected to be "
                                  "in time.")),
      displaced_(&registry.Counters("wagtail_entry_jobs_displaced_total",
                                    "Jobs that had been accepted and were refused as not run.")) {}

void overload_metrics::OnJobEvent(const job_log_event& event) {
  if (event.fact == kJobDelayed) {
    delayed_->Add({{"queue", std::string(event.queue)}}).Increment();
  } else if (event.fact == kJobDisplaced) {
    displaced_->Add({{"queue", std::string(event.queue)}}).Increment();
  }
}

}  // namespace wagtail::leased
