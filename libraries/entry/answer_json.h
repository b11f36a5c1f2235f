#pragma once

#include <string>
#include <string_view>

#include "base/time.h"
#include "http/http_message.h"
#include "jobs/job.h"

namespace wagtail {

/// Reason of a job that its team's quota did not admit.
inline constexpr std::string_view kQuotaExceeded = "quota_exceeded";

/// Why a request was turned away before any task of it could start.
struct request_refusal {
  int status = 400;        ///< HTTP status
  std::string_view error;  ///< stable name
  std::string message;     ///< for people
  duration retry_after{};  ///< zero: no advice
};

/// @return the final answer of a job as the caller gets it
http_response RespondWith(std::string_view job_id, const job_answer& answer);
/// @return a refusal without an outcome: this request started nothing, but an earlier one with the
///   same job id or key may have, and the checks that refuse know nothing of it
http_response RespondWith(const request_refusal& refusal);
/// @return an answer that says nothing of whether the job ran, for ids that can't be judged
http_response RespondUnknown(int status, std::string_view error, std::string_view message);
/// @return `body` as JSON with status 200
http_response RespondJson(std::string body);

}  // namespace wagtail
