#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/time.h"
#include "configuration/configuration.h"
#include "jobs/job.h"

namespace wagtail {

/// Largest body of one task, in bytes.
inline constexpr size_t kMaxTaskBytes = 64 << 10;

/// A job as submitted by its caller.
struct job_body {
  struct task {
    std::string service;
    std::string body;
  };
  std::optional<duration> deadline;  ///< until the final answer; empty: longest of the services'
  std::vector<task> tasks;
};

/// Parses and checks the JSON of a submission.
/// @return the body, or an invalid-argument status that lists each problem with its path
absl::StatusOr<job_body> ParseJobBody(std::string_view text);

/// Fills in the stages, timeouts and needs that the configuration defines for the job's services.
/// @param submission must have its key, team and digest set
/// @return an invalid-argument status when a service is unknown
absl::Status FillSubmission(job_submission& submission, job_body body, const configuration& current,
                            instant now);

}  // namespace wagtail
