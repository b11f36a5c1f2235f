#include "entry/answer_json.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace wagtail {

namespace {

using json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

int HttpStatusOf(const job_answer& answer) {
  if (answer.outcome == job_outcome::kComplete) {
    return kOk;
  }
  if (answer.reason == "deadline_exceeded") {
    return kGatewayTimeout;
  }
  if (answer.reason == kQuotaExceeded) {
    return kTooManyRequests;
  }
  return answer.outcome == job_outcome::kFailedNotRun ? kUnavailable : kBadGateway;
}

http_response Respond(int status, const json& body, duration retry_after) {
  // Task bodies are raw bytes; invalid UTF-8 is replaced so that the answer stays valid JSON.
  std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace);
  http_response response{.status = status, .headers = {}, .body = std::move(text)};
  response.headers["content-type"] = "application/json";
  if (retry_after > duration::zero()) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    response.headers["retry-after"] = std::to_string(seconds.count());
  }
  return response;
}

}  // namespace

http_response RespondWith(std::string_view job_id, const job_answer& answer) {
  json body = {{"job", job_id}, {"outcome", ToString(answer.outcome)}};
  if (answer.outcome == job_outcome::kComplete) {
    json results = json::array();
    for (const task_answer& task : answer.results) {
      results.push_back({{"index", task.index},
                         {"target", task.target},
                         {"status", "completed"},
                         {"body", task.body}});
    }
    body["results"] = std::move(results);
    return Respond(HttpStatusOf(answer), body, {});
  }
  body["reason"] = answer.reason;
  body["started"] = answer.started;
  if (answer.retry_after > duration::zero()) {
    body["retry_after_ms"] = ToMilliseconds(answer.retry_after);
  }
  return Respond(HttpStatusOf(answer), body, answer.retry_after);
}

http_response RespondWith(const request_refusal& refusal) {
  json body = {{"error", refusal.error}, {"reason", refusal.error}, {"message", refusal.message}};
  if (refusal.retry_after > duration::zero()) {
    body["retry_after_ms"] = ToMilliseconds(refusal.retry_after);
  }
  return Respond(refusal.status, body, refusal.retry_after);
}

http_response RespondError(int status, std::string_view error, std::string_view message) {
  return Respond(status, {{"error", error}, {"message", message}}, {});
}

http_response RespondJson(std::string body) {
  http_response response{.status = kOk, .headers = {}, .body = std::move(body)};
  response.headers["content-type"] = "application/json";
  return response;
}

}  // namespace wagtail
