#pragma once

#include <string_view>

#include "base/verify.h"
#include "wagtail_load/load_scenario.h"

namespace wagtail {

/// A small scenario with a domain that leaves and returns.
inline constexpr std::string_view kSampleScenario = R"({
  "name": "sample", "seed": 7, "length_ms": 1000,
  "entries": ["http://127.0.0.1:1"], "token": "hunter2", "operator_token": "hunter3",
  "arrivals": [{"from_ms": 0, "jobs_per_second": 50}],
  "services": {"lamp": {"weight": 3}, "probe": {}},  // a comment
  "job_sizes": [{"tasks": 1, "weight": 3}, {"tasks": 4}],
  "run_times": [{"least_ms": 1, "most_ms": 9}],
  "deadline_ms": 800, "resubmitted_share": 0.2, "workers": 8, "call_timeout_ms": 5000,
  "ideal": {"fastest_speed": 2, "overhead_ms": 1},
  "domains": {"a": {"work_per_second": 1}, "b": {"work_per_second": 2}},
  "changes": [
    {"at_ms": 200, "kind": "leave_domain", "subject": "a"},
    {"at_ms": 600, "kind": "return_domain", "subject": "a"}
  ]
})";

inline load_scenario SampleScenario() {
  absl::StatusOr<load_scenario> plan = ParseScenario(kSampleScenario, "sample.jsonc");
  VERIFY(plan.ok());
  return *std::move(plan);
}

}  // namespace wagtail
