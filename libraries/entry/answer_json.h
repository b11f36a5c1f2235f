#pragma once

#include <string>
#include <string_view>

#include "base/time.h"
#include "http/http_message.h"
#include "jobs/job.h"

namespace wagtail {

/// Reason of a job that was refused by its team's quota.
inline constexpr std::string_view kQuotaExceeded = "quota_exceeded";

/// Refusal of a request before any of its tasks could start.
struct request_refusal {
  int status = 400;        ///< HTTP status
  std::string_view error;  ///< stable error name
  std::string message;     ///< human-readable text
  duration retry_after{};  ///< zero: no retry-after header
};

/// @return the HTTP response with the final answer of a job
http_response RespondWith(std::string_view job_id, const job_answer& answer);
/// @return a refusal without an outcome: this request started nothing, but an earlier one with the
///   same job id or key may have, which the refusing checks cannot see
http_response RespondWith(const request_refusal& refusal);
/// @return an error that does not state whether the job ran, for ids whose state is unknown
http_response RespondError(int status, std::string_view error, std::string_view message);
/// @return `body` as JSON with status 200
http_response RespondJson(std::string body);

}  // namespace wagtail
