#pragma once

#include <string_view>

namespace wagtail {

inline constexpr std::string_view kSampleText = R"({
  // Lighting of one club.
  "failure_domains": ["kandy-1", "kandy-2"],
  "services": {
    "court-control": {"expected_run_ms": 80, "task_timeout_ms": 2000, "job_deadline_ms": 5000},
    "flicker-check": {"depends_on": ["court-control"], "requires": {"cores": 2}},
    "report": {"depends_on": ["flicker-check"]}
  },
  "teams": {
    "clubs": {
      "token_sha256": "1111111111111111111111111111111111111111111111111111111111111111",
      "starts_per_second": 500, "services": ["court-control", "flicker-check"]
    }
  },
  "operators": {
    "amara": {"token_sha256": "2222222222222222222222222222222222222222222222222222222222222222"}
  }
})";

}  // namespace wagtail
