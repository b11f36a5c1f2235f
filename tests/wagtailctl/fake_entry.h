#pragma once

#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "configuration/audit_record.h"
#include "configuration/configuration_record.h"
#include "http/http_client.h"
#include "http/http_error.h"
#include "tests/configuration/sample_text.h"

namespace wagtail {

/// Fault injected into one call.
enum class call_fault {
  kNone,
  kConnectFails,     ///< connection refused
  kLostRequest,      ///< never arrived, but the client cannot tell
  kLostAnswer,       ///< took effect, the answer was lost
  kTableDown,        ///< 503 not_applied
  kRefused,          ///< 401
  kTableConflict,    ///< 409 without the other change
  kOutcomeUnknown,   ///< 503 outcome_unknown, took effect
  kMalformedAnswer,  ///< 200 with a body that is not JSON
};

/// An in-memory entry that commits changes with the production Apply().
class fake_entry {
 public:
  fake_entry() {
    record_.version = 4;
    record_.text = kSampleText;
    record_.change_id = "earlier";
    record_.author = "nuwan";
  }

  http_response Handle(const http_request& request) {
    requests_.push_back(request);
    if (request.path == "/v1/operator/configuration") {
      return Configuration();
    }
    if (request.path == "/v1/operator/changes") {
      return Change(request.body);
    }
    if (request.path.starts_with("/v1/operator/changes/")) {
      return FindChange(request.path.substr(std::string("/v1/operator/changes/").size()));
    }
    const auto canned = answers_.find(request.path);
    return canned == answers_.end()
               ? Answer(404, {{"error", "not_found"}})
               : http_response{.status = 200, .headers = {}, .body = canned->second};
  }

  /// Handles a call of the client under the next fault.
  absl::StatusOr<http_response> Call(const http_call& call) {
    const call_fault fault = NextFault();
    if (fault == call_fault::kConnectFails) {
      return MakeError(http_error::kConnectFailed, "connection refused");
    }
    if (fault == call_fault::kTableDown) {
      return Answer(503, {{"error", "not_applied"}});
    }
    if (fault == call_fault::kRefused) {
      return Answer(401, {{"error", "x"}, {"message", "no such token"}});
    }
    if (fault == call_fault::kTableConflict) {
      return Answer(409, {{"error", "conflict"}, {"message", "condition failed"}});
    }
    if (fault == call_fault::kLostRequest) {
      return MakeError(http_error::kNoAnswer, "timed out");
    }
    const http_response response = Handle(ToRequest(call));
    if (fault == call_fault::kLostAnswer) {
      return MakeError(http_error::kNoAnswer, "timed out");
    }
    if (fault == call_fault::kOutcomeUnknown) {
      return Answer(503, {{"error", "outcome_unknown"}});
    }
    if (fault == call_fault::kMalformedAnswer) {
      return http_response{.status = 200, .headers = {}, .body = "{gone"};
    }
    return response;
  }

  /// Commits a change of another operator.
  void ChangeByOther(change_kind kind, const std::string& subject, const std::string& id) {
    configuration_change change;
    change.change_id = id;
    change.author = "nuwan";
    change.base_version = record_.version;
    change.kind = kind;
    change.subject = subject;
    Commit(*Apply(record_, change), change);
  }

  std::deque<call_fault> faults_;                 ///< for the next calls, in order
  std::deque<std::vector<std::string>> missing_;  ///< missing processes, one element per read
  std::map<std::string, std::string> answers_;    ///< bodies by path
  std::string conflict_message_;                  ///< of the next 409
  std::vector<http_request> requests_;
  configuration_record record_;
  std::map<std::string, audit_record> audit_;

 private:
  static http_response Answer(int status, const nlohmann::json& body) {
    return {.status = status, .headers = {}, .body = body.dump()};
  }

  static http_request ToRequest(const http_call& call) {
    const size_t start = call.url.find('/', std::string("http://").size());
    const std::string target = call.url.substr(start);
    const size_t query = target.find('?');
    return {.method = call.method,
            .path = target.substr(0, query),
            .query = {},
            .headers = call.headers,
            .body = call.body};
  }

  call_fault NextFault() {
    if (faults_.empty()) {
      return call_fault::kNone;
    }
    const call_fault fault = faults_.front();
    faults_.pop_front();
    return fault;
  }

  http_response Configuration() {
    std::vector<std::string> missing;
    if (!missing_.empty()) {
      missing = missing_.front();
      missing_.pop_front();
    }
    return Answer(200, {{"version", record_.version},
                        {"text", record_.text},
                        {"leaving_failure_domains", record_.leaving_failure_domains},
                        {"leaving_targets", record_.leaving_targets},
                        {"in_force", missing.empty()},
                        {"missing", missing}});
  }

  http_response Change(const std::string& body) {
    configuration_change change = *ParseChangeRequest(body);
    change.author = "amara";
    const auto committed = audit_.find(change.change_id);
    if (committed != audit_.end()) {
      return Answer(200, {{"version", committed->second.to_version}, {"outcome", "committed"}});
    }
    const absl::StatusOr<configuration_record> next = Apply(record_, change);
    if (next.ok()) {
      Commit(*next, change);
      return Answer(200, {{"version", next->version}, {"outcome", "committed"}});
    }
    if (ErrorOf<configuration_error>(next.status()) == configuration_error::kStaleBase) {
      return Answer(409, {{"error", "conflict"},
                          {"other_author", record_.author},
                          {"other_change_id", record_.change_id},
                          {"version", record_.version},
                          {"message", conflict_message_}});
    }
    return Answer(422, {{"error", "refused"}, {"message", MessageOf(next.status())}});
  }

  http_response FindChange(const std::string& id) {
    const auto found = audit_.find(id);
    return found == audit_.end()
               ? Answer(404, {{"error", "not_applied"}})
               : http_response{.status = 200, .headers = {}, .body = Serialize(found->second)};
  }

  void Commit(const configuration_record& next, const configuration_change& change) {
    record_ = next;
    audit_[change.change_id] = AuditOfCommitted(change, "2026-12-04T02:15:00Z");
  }
};

}  // namespace wagtail
