#pragma once

#include <optional>
#include <string>

#include "entry/entry_context.h"
#include "entry/job_service.h"
#include "http/http_message.h"

namespace wagtail {

/// Answers operators' requests; safe to call from several threads.
class operator_api {
 public:
  /// @param context must outlive this object
  /// @param jobs must outlive this object
  /// @param bootstrap_token_digest SHA-256 of the operator token that is valid until the first
  ///   configuration has been accepted; empty for none
  operator_api(entry_context& context, job_service& jobs, std::string bootstrap_token_digest);

  /// Handles any request under /v1/operator/.
  http_response Handle(const http_request& request);

 private:
  std::optional<std::string> Authenticate(const http_request& request) const;
  http_response ShowConfiguration();
  http_response ChangeConfiguration(const http_request& request, const std::string& author);
  /// Sets the log level of this process.
  http_response ChangeLogLevel(const http_request& request, const std::string& author);
  http_response ShowChange(std::string_view change_id);
  http_response ShowAudit(const http_request& request);
  http_response ShowStatus();
  /// @return the configuration version that the target confirmed; 0 if older than the newest
  uint64_t ConfirmedVersion(const target_status& target) const;
  http_response ShowTargets();
  http_response ShowJobs();
  http_response CancelJob(std::string_view id_text);

  entry_context& context_;
  job_service& jobs_;
  std::string bootstrap_token_digest_;
};

}  // namespace wagtail
