#include "tests/process/caller.h"

#include <algorithm>

#include "http/http_client.h"

namespace wagtail {

namespace {

using json = nlohmann::json;

constexpr duration kCallTimeout = std::chrono::seconds(60);

}  // namespace

std::string JobOf(size_t count, unsigned run_ms, std::string_view service) {
  json task = {{"service", service}, {"body", json({{"run_ms", run_ms}}).dump()}};
  return json({{"tasks", std::vector<json>(count, task)}}).dump();
}

http_response caller::Call(size_t entry, const std::string& method, const std::string& path,
                           const std::string& body) {
  http_call call{.method = method, .url = cluster_.EntryUrl(entry) + path, .body = body};
  call.headers["authorization"] = "Bearer " + token_;
  call.timeout = kCallTimeout;
  absl::StatusOr<http_response> answer = CallHttp(call);
  return answer.ok() ? *std::move(answer) : http_response{.status = 0};
}

std::vector<std::string> caller::Mint(size_t entry, size_t count) {
  http_response answer = Call(entry, "POST", "/v1/job-ids", json({{"count", count}}).dump());
  json body = json::parse(answer.body, nullptr, false);
  if (!body.is_object() || !body.contains("ids")) {
    return {};
  }
  return body["ids"].get<std::vector<std::string>>();
}

std::string caller::Mint(size_t entry) {
  std::vector<std::string> ids = Mint(entry, 1);
  return ids.empty() ? "" : ids.front();
}

final_answer caller::Submit(size_t entry, const std::string& id, const std::string& body) {
  json job = json::parse(body, nullptr, false);
  bool has_tasks = job.is_object() && job.contains("tasks") && job["tasks"].is_array();
  http_response answer = Call(entry, "PUT", "/v1/jobs/" + id, body);
  final_answer answered{.id = id,
                        .tasks = has_tasks ? job["tasks"].size() : 0,
                        .status = answer.status,
                        .body = answer.body,
                        .json = json::parse(answer.body, nullptr, false)};
  cluster_.Record(answered);
  return answered;
}

std::future<final_answer> caller::SubmitLater(size_t entry, const std::string& id,
                                              const std::string& body) {
  return std::async(std::launch::async,
                    [this, entry, id, body] { return Submit(entry, id, body); });
}

final_answer caller::SubmitUntilAnswered(size_t entries, const std::string& body) {
  final_answer answered;
  std::string id;
  size_t attempt = 0;
  Eventually([&] {
    size_t entry = attempt++ % entries;
    id = id.empty() ? Mint(entry) : id;
    if (id.empty()) {
      return false;
    }
    answered = Submit(entry, id, body);
    if (answered.outcome() == "failed_not_run") {
      id.clear();
    }
    return answered.status != 0 && answered.outcome() != "failed_not_run" &&
           !answered.outcome().empty();
  });
  return answered;
}

http_response caller::Cancel(size_t entry, const std::string& id) {
  return Call(entry, "POST", "/v1/jobs/" + id + "/cancel", "");
}

}  // namespace wagtail
