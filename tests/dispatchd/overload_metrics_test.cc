#include "services/dispatchd/overload_metrics.h"

#include <string>

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {

TEST_GROUP(OverloadMetrics) {
  metrics_registry registry;
  overload_metrics metrics{registry};

  void CheckWritten(const std::string& line) const {
    CHECK_TEXT(registry.Write().find(line + "\n") != std::string::npos, registry.Write().c_str());
  }
};

TEST(OverloadMetrics, DelayedAndDisplacedJobsAreCountedByQueue) {
  metrics.OnJobEvent({.fact = kJobDelayed, .job = "a", .queue = "low"});
  metrics.OnJobEvent({.fact = kJobDelayed, .job = "b", .queue = "low"});
  metrics.OnJobEvent({.fact = kJobDelayed, .job = "c", .queue = "high"});
  metrics.OnJobEvent({.fact = kJobDisplaced, .job = "a", .queue = "low"});
  CheckWritten(R"(wagtail_entry_jobs_delayed_total{queue="low"} 2)");
  CheckWritten(R"(wagtail_entry_jobs_delayed_total{queue="high"} 1)");
  CheckWritten(R"(wagtail_entry_jobs_displaced_total{queue="low"} 1)");
}

// Refusals on arrival are counted with the answers.
TEST(OverloadMetrics, OtherEventsAreNotCounted) {
  metrics.OnJobEvent({.fact = "job_refused", .job = "a", .queue = "low"});
  metrics.OnJobEvent({.fact = "tasks_ordered", .job = "b"});
  CHECK(registry.Write().find('{') == std::string::npos);
}

}  // namespace wagtail::leased
