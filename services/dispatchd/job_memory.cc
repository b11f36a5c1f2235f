#include "services/dispatchd/job_memory.h"

#include <string_view>
#include <utility>

#include "platform/platform_error.h"
#include "scheduler/job_scheduler.h"

namespace wagtail::leased {
namespace {

using platform::platform_error;

absl::Status ErrorFor(bool never_fits) {
  return never_fits ? MakeError(platform_error::kTooLarge, "job_too_large")
                    : MakeError(platform_error::kNoMemory, "no_memory_for_job");
}

}  // namespace

job_memory::job_memory(memory_budget_options options, metrics_registry& registry)
    : budget_(std::make_shared<memory_budget>(options)),
      refusals_(&registry.Counters("wagtail_entry_job_memory_refusals_total",
                                   "Jobs refused for the memory that they would take.")) {
  gauge& held =
      registry.Gauges("wagtail_entry_job_memory_bytes", "Memory reserved for jobs in progress.")
          .Add({});
  registry.BeforeWrite(
      [budget = budget_, &held] { held.Set(static_cast<double>(budget->held_bytes())); });
}

absl::StatusOr<std::shared_ptr<const memory_reservation>> job_memory::Reserve(
    const platform::job_body& job) {
  size_t bytes = job_scheduler::MemoryBytes(job.steps, job.text.size());
  std::shared_ptr<const memory_reservation> reserved = memory_reservation::Make(budget_, bytes);
  if (reserved == nullptr) {
    absl::Status error = ErrorFor(bytes > budget_->largest_bytes());
    refusals_->Add({{"reason", MessageOf(error)}}).Increment();
    return error;
  }
  return reserved;
}

}  // namespace wagtail::leased
