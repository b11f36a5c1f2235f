#include "services/dispatchd/front_filters.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/layer_error.h"
#include "logging/logging.h"
#include "platform/job_json.h"
#include "platform/platform_error.h"

namespace wagtail::leased {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kWrongMethod = 405;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr duration kNoRetry{0};
/// Retry delay for an entry that is stopping, overloaded, has no plan yet or does not support the
/// kind of job.
constexpr duration kRetry = std::chrono::seconds(1);
/// For requests without a deadline on queues without a timeout.
constexpr duration kDefaultDeadline = std::chrono::seconds(5);

std::optional<http_response> FindQueue(const front_hooks& hooks, front_request& request) {
  auto host = request.http->headers.find("host");
  std::string name = host == request.http->headers.end() ? "" : host->second;
  name = name.substr(0, name.find(':'));
  queue_match match = hooks.queue(name, request.http->path);
  if (!match.queue.has_value()) {
    LogFact(log_level::kInfo, "request_refused",
            {{"reason", "no_such_queue"},
             {"host", name},
             {"path", request.http->path},
             {"plan", match.plan_version}});
    return platform::WriteRefusal(kNotFound, "no_such_queue", kNoRetry);
  }
  request.plan_version = match.plan_version;
  request.max_body_bytes = match.max_body_bytes;
  request.job = request.http->path.substr(match.queue->path_prefix.size());
  request.queue = *std::move(match.queue);
  return std::nullopt;
}

std::optional<http_response> CheckShape(front_request& request) {
  if (request.http->body.size() > request.max_body_bytes) {
    return platform::WriteRefusal(kTooLarge, "body_too_large", kNoRetry);
  }
  if (request.job.empty() && request.http->method == "GET") {
    // Jobs are answered only when they have ended, so no accepted job is ever pending.
    return platform::WritePending(0);
  }
  if (!platform::IsJobId(request.job)) {
    return platform::WriteRefusal(kBadRequest, "not_a_job_id", kNoRetry);
  }
  return std::nullopt;
}

/// Refuses a request that could be served later. To a copy of a job in progress a 503 would be
/// untrue, as it says that the job does not run.
/// @param job id, valid or not
/// @return 503, or 504 if the job is in progress
http_response RefuseForNow(const front_hooks& hooks, std::string_view job,
                           std::string_view message) {
  if (hooks.in_progress(job)) {
    return platform::WriteRefusal(kGatewayTimeout, "job_in_progress", kNoRetry);
  }
  return platform::WriteRefusal(kUnavailable, message, kRetry);
}

/// @return the part of a path that is a job's id if the path names a job; no plan is needed for it
std::string_view JobIdOf(std::string_view path) {
  return path.substr(path.size() - std::min(path.size(), platform::kJobIdLength));
}

/// @param error why a job was not decoded, or not kept
http_response RefusalOf(const front_hooks& hooks, const front_request& request,
                        const absl::Status& error) {
  using platform::platform_error;
  std::string message = MessageOf(error);
  switch (ErrorOf<platform_error>(error).value_or(platform_error::kBadMessage)) {
    case platform_error::kUnsupported:
      return platform::WriteRefusal(kUnavailable, "kind_of_job_not_built", kRetry);
    case platform_error::kNoMemory:
      return RefuseForNow(hooks, request.job, message);
    case platform_error::kTooLarge:
      return platform::WriteRefusal(kTooLarge, message, kNoRetry);
    default:
      return platform::WriteRefusal(kBadRequest, message, kNoRetry);
  }
}

std::optional<http_response> DecodeJob(const front_hooks& hooks, front_request& request) {
  if (request.http->method != "POST") {
    return std::nullopt;
  }
  absl::StatusOr<platform::job_body> job = hooks.decode(request.http->body);
  if (!job.ok()) {
    LogFact(log_level::kWarning, "job_refused",
            {{"job", request.job}, {"reason", MessageOf(job.status())}});
    return RefusalOf(hooks, request, job.status());
  }
  duration fallback =
      request.queue.timeout > duration::zero() ? request.queue.timeout : kDefaultDeadline;
  duration deadline = platform::ReadDeadline(*request.http).value_or(fallback);
  request.submission = {.id = request.job,
                        .text = std::make_shared<const std::string>(std::move(job->text)),
                        .queue = request.queue,
                        .steps = std::move(job->steps),
                        .deadline = deadline - request.waited,
                        .memory = std::move(job->memory)};
  return std::nullopt;
}

}  // namespace

std::vector<front_filter> MakeFrontFilters(const front_hooks& hooks) {
  std::vector<front_filter> filters;
  filters.emplace_back([hooks](front_request& request) -> std::optional<http_response> {
    std::string_view job = JobIdOf(request.http->path);
    if (hooks.stopping()) {
      return RefuseForNow(hooks, job, "stopping");
    }
    // Checked before the job is parsed, so that a refusal costs little of the scarce processor
    // time.
    if (request.http->method == "POST" && hooks.busy()) {
      http_response refusal = RefuseForNow(hooks, job, "entry_busy");
      // The caller's next connection may reach an entry with spare capacity.
      refusal.headers["connection"] = "close";
      return refusal;
    }
    duration deadline = platform::ReadDeadline(*request.http).value_or(kDefaultDeadline);
    std::optional<duration> waited = hooks.await_plan(deadline);
    if (!waited.has_value()) {
      return RefuseForNow(hooks, job, "no_plan_yet");
    }
    request.waited = *waited;
    return std::nullopt;
  });
  filters.emplace_back([hooks](front_request& request) { return FindQueue(hooks, request); });
  filters.emplace_back(CheckShape);
  filters.emplace_back([hooks](front_request& request) { return DecodeJob(hooks, request); });
  filters.emplace_back([hooks](front_request& request) -> std::optional<http_response> {
    const std::string& method = request.http->method;
    if (method == "POST") {
      return hooks.submit(request);
    }
    if (method == "DELETE") {
      return hooks.cancel(request);
    }
    if (method == "GET") {
      return hooks.state(request);
    }
    return platform::WriteRefusal(kWrongMethod, "wrong_method", kNoRetry);
  });
  return filters;
}

http_response RunFrontFilters(const std::vector<front_filter>& filters,
                              const http_request& request) {
  front_request passing{.http = &request};
  for (const front_filter& filter : filters) {
    std::optional<http_response> answer = filter(passing);
    if (answer.has_value()) {
      return *std::move(answer);
    }
  }
  return platform::WriteRefusal(kUnavailable, "unanswered", kRetry);
}

}  // namespace wagtail::leased
