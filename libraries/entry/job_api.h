#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "entry/entry_context.h"
#include "entry/job_service.h"
#include "http/http_message.h"

/// @file
/// The callers' HTTP interface: each request passes a chain of filters, any of which may answer it.

namespace wagtail {

/// A request and the data that the filters derive from it.
struct job_request {
  const http_request& http;
  std::string team;
  checked_submission submission;
};

/// Passes a request on (empty) or answers it.
using job_filter = std::function<std::optional<http_response>(job_request&)>;

/// Answers callers' requests; safe to call from several threads.
class job_api {
 public:
  /// @param context must outlive this object
  /// @param jobs must outlive this object
  job_api(entry_context& context, job_service& jobs);

  /// POST /v1/job-ids
  http_response MintIds(const http_request& request);
  /// PUT /v1/jobs/ID
  http_response SubmitJob(const http_request& request);
  /// POST /v1/jobs, with an optional idempotency-key header
  http_response SubmitWithoutId(const http_request& request);
  /// POST /v1/jobs/ID/cancel
  http_response CancelJob(const http_request& request);

 private:
  std::optional<http_response> Authenticate(job_request& request) const;
  std::optional<http_response> CheckId(job_request& request) const;
  std::optional<http_response> CheckBody(job_request& request) const;
  std::optional<http_response> CheckServices(job_request& request) const;
  std::optional<http_response> BindId(job_request& request);
  http_response RunChain(const std::vector<job_filter>& chain, job_request& request,
                         const std::function<void(respond_hook)>& handler);
  http_response RunSubmission(const std::vector<job_filter>& chain, const http_request& request);
  std::string MintId(const std::string& team);

  entry_context& context_;
  job_service& jobs_;
  std::vector<job_filter> submit_chain_;
  std::vector<job_filter> submit_without_id_chain_;
  std::vector<job_filter> cancel_chain_;
};

/// @return the token of an `authorization: Bearer` header; empty if there is none
std::string_view BearerToken(const http_request& request);

}  // namespace wagtail
