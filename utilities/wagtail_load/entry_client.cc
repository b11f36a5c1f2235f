#include "wagtail_load/entry_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/try.h"
#include "http/http_error.h"
#include "wagtail_load/load_error.h"

namespace wagtail {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
/// Short, since another entry can mint in place of a silent one.
constexpr duration kMintTimeout = std::chrono::seconds(2);
constexpr int kFirstError = 400;
constexpr int kServiceUnavailable = 503;

json ParseLoosely(const std::string& text) {
  constexpr bool kAllowExceptions = false;
  json parsed = json::parse(text, nullptr, kAllowExceptions);
  return parsed.is_object() ? parsed : json::object();
}

std::string TextAt(const json& object, std::string_view key) {
  auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

submission_answer BadAnswer(std::string_view why) {
  return {
      .outcome = submission_outcome::kBadAnswer, .reason = "tool: " + std::string(why), .body = ""};
}

/// Whether every index is there once, with a completed status.
bool IsWhole(const json& results, size_t tasks) {
  if (!results.is_array() || results.size() != tasks) {
    return false;
  }
  std::set<size_t> seen;
  return std::ranges::all_of(results, [&](const json& result) {
    if (!result.is_object() || TextAt(result, "status") != "completed") {
      return false;
    }
    auto index = result.find("index");
    if (index == result.end() || !index->is_number_unsigned() || index->get<size_t>() >= tasks) {
      return false;
    }
    return seen.insert(index->get<size_t>()).second;
  });
}

}  // namespace

submission_answer JudgeAnswer(const http_response& answer, size_t tasks) {
  json body = ParseLoosely(answer.body);
  std::string outcome = TextAt(body, "outcome");
  if (answer.status == kOk) {
    if (outcome != "complete") {
      return BadAnswer("status 200 without outcome complete");
    }
    if (!IsWhole(body.value("results", json()), tasks)) {
      return BadAnswer("partial answer");
    }
    return {.outcome = submission_outcome::kComplete, .reason = "", .body = body["results"].dump()};
  }
  std::string reason = TextAt(body, "reason");
  if (reason.empty()) {
    reason = absl::StrCat("status ", answer.status, " ", TextAt(body, "error"));
  }
  if (outcome == "failed_may_have_run") {
    return {
        .outcome = submission_outcome::kFailedMayHaveRun, .reason = std::move(reason), .body = ""};
  }
  if (outcome == "failed_not_run") {
    return {.outcome = submission_outcome::kFailedNotRun, .reason = std::move(reason), .body = ""};
  }
  if (answer.status == kServiceUnavailable && outcome.empty()) {
    // The entry refused to say anything of the job: the same as hearing nothing from it.
    return {.outcome = submission_outcome::kNoAnswer, .reason = std::move(reason), .body = ""};
  }
  return BadAnswer("without outcome, " + reason);
}

entry_client::entry_client(const load_scenario& plan, call_hook call)
    : plan_(plan), call_(std::move(call)) {}

http_call entry_client::Call(std::string method, std::string_view entry, std::string_view path,
                             const secret& token) const {
  http_call call;
  call.method = std::move(method);
  call.url = std::string(entry) + std::string(path);
  call.headers["authorization"] = "Bearer " + std::string(token.Reveal());
  call.headers["content-type"] = "application/json";
  call.timeout = plan_.call_timeout;
  return call;
}

absl::StatusOr<std::vector<std::string>> entry_client::MintIds(std::string_view entry,
                                                               uint32_t count) const {
  http_call call = Call("POST", entry, "/v1/job-ids", plan_.token);
  call.body = json{{"count", count}}.dump();
  call.timeout = std::min(call.timeout, kMintTimeout);
  http_response answer = TRY(call_(call));
  json body = ParseLoosely(answer.body);
  auto ids = body.find("ids");
  bool listed = answer.status < kFirstError && ids != body.end() && ids->is_array() &&
                !ids->empty() &&
                std::ranges::all_of(*ids, [](const json& id) { return id.is_string(); });
  if (!listed) {
    return MakeError(load_error::kUnexpectedAnswer,
                     "no job ids, status " + std::to_string(answer.status));
  }
  return ids->get<std::vector<std::string>>();
}

std::string entry_client::BodyOf(const planned_job& job) const {
  json body;
  if (plan_.job_deadline.has_value()) {
    body["deadline_ms"] = ToMilliseconds(*plan_.job_deadline);
  }
  body["tasks"] = json::array();
  for (const planned_task& task : job.tasks) {
    body["tasks"].push_back({{"service", plan_.services[task.service].name},
                             {"body", json{{"run_ms", task.run_ms}}.dump()}});
  }
  return body.dump();
}

submission_answer entry_client::Submit(std::string_view entry, std::string_view id,
                                       const planned_job& job) const {
  bool own_key = plan_.ids == id_source::kOwnKeys;
  http_call call = own_key ? Call("POST", entry, "/v1/jobs", plan_.token)
                           : Call("PUT", entry, "/v1/jobs/" + std::string(id), plan_.token);
  if (own_key) {
    call.headers["idempotency-key"] = id;
  }
  call.body = BodyOf(job);
  absl::StatusOr<http_response> answer = call_(call);
  if (answer.ok()) {
    return JudgeAnswer(*answer, job.tasks.size());
  }
  bool arrived_never = ErrorOf<http_error>(answer.status()) == http_error::kConnectFailed;
  return {
      .outcome = arrived_never ? submission_outcome::kNotConnected : submission_outcome::kNoAnswer,
      .reason = arrived_never ? "tool: no connection" : "tool: no answer",
      .body = ""};
}

absl::StatusOr<http_response> entry_client::Change(std::string_view entry,
                                                   std::string_view change_id,
                                                   const operator_action& action) const {
  http_call call = Call("POST", entry, "/v1/operator/changes", plan_.operator_token);
  call.body = json{{"change_id", std::string(change_id)},
                   {"base_version", 0},
                   {"kind", std::string(ToText(action.kind))},
                   {"subject", action.subject}}
                  .dump();
  return call_(call);
}

}  // namespace wagtail
