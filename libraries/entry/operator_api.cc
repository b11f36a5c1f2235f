#include "entry/operator_api.h"

#include <algorithm>
#include <ctime>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "entry/answer_json.h"
#include "entry/entry_registration.h"
#include "entry/job_api.h"
#include "logging/logging.h"
#include "security/digest.h"
#include "settings/settings_text.h"

namespace wagtail {

namespace {

using json = nlohmann::json;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kPrefix = "/v1/operator/";
constexpr std::string_view kChangesPrefix = "changes/";
constexpr std::string_view kJobsPrefix = "jobs/";
constexpr std::string_view kCancelSuffix = "/cancel";

std::string NowInRfc3339() {
  return absl::FormatTime(absl::RFC3339_sec, absl::Now(), absl::UTCTimeZone());
}

json ToJson(const audit_record& record) { return json::parse(Serialize(record)); }

http_response Refuse(int status, std::string_view error, const absl::Status& reason) {
  return RespondUnknown(status, error, MessageOf(reason));
}

// Names the change that stands in the way of a refused one.
http_response RefuseConflict(const absl::Status& status, table& table) {
  http_response response = Refuse(kConflict, "conflict", status);
  absl::StatusOr<configuration_record> present = ReadPresentRecord(table);
  if (!present.ok()) {
    return response;
  }
  json body = json::parse(response.body);
  body["other_author"] = present->author;
  body["other_change_id"] = present->change_id;
  body["version"] = present->version;
  response.body = body.dump();
  return response;
}

// Turns an error of the table or the configuration layer into the operators' answer.
http_response RefuseChange(const absl::Status& status, table& table) {
  if (auto error = ErrorOf<table_error>(status); error.has_value()) {
    switch (*error) {
      case table_error::kOutcomeUnknown:
        return Refuse(kServiceUnavailable, "outcome_unknown", status);
      case table_error::kConflict:
        return RefuseConflict(status, table);
      case table_error::kUnavailable:
      case table_error::kBadAnswer:
        return Refuse(kServiceUnavailable, "not_applied", status);
    }
  }
  bool is_stale = ErrorOf<configuration_error>(status) == configuration_error::kStaleBase;
  return is_stale ? RefuseConflict(status, table) : Refuse(kUnprocessable, "refused", status);
}

std::string_view ToString(missing_reason reason) {
  switch (reason) {
    case missing_reason::kMayStillStart:
      return "may_still_start";
    case missing_reason::kStartsNothing:
      return "starts_nothing";
  }
  return "unknown";
}

std::string StateOf(const target_status& target, const configuration& current) {
  if (!target.is_up) {
    return "unreachable";
  }
  if (!current.Admits(target.row.incarnation.target, target.row.failure_domain)) {
    return "leaving";
  }
  return target.report.ready ? "ready" : "not_ready";
}

}  // namespace

operator_api::operator_api(entry_context& context, job_service& jobs,
                           std::string bootstrap_token_digest)
    : context_(context), jobs_(jobs), bootstrap_token_digest_(std::move(bootstrap_token_digest)) {}

std::optional<std::string> operator_api::Authenticate(const http_request& request) const {
  std::string digest = Sha256Hex(BearerToken(request));
  return context_.view.Read([&](const entry_view& view) -> std::optional<std::string> {
    if (view.current.version == 0 && digest == bootstrap_token_digest_) {
      return "bootstrap";
    }
    auto found = view.operator_of_token.find(digest);
    return found == view.operator_of_token.end() ? std::nullopt
                                                 : std::optional<std::string>(found->second);
  });
}

http_response operator_api::Handle(const http_request& request) {
  std::optional<std::string> author = Authenticate(request);
  if (!author.has_value()) {
    return RespondUnknown(kUnauthorized, "unknown_token", "the token belongs to no operator");
  }
  std::string_view path = std::string_view(request.path).substr(kPrefix.size());
  bool is_get = request.method == "GET";
  bool is_post = request.method == "POST";
  if (is_get && path == "configuration") {
    return ShowConfiguration();
  }
  if (is_post && path == "changes") {
    return ChangeConfiguration(request, *author);
  }
  if (is_get && path.starts_with(kChangesPrefix)) {
    return ShowChange(path.substr(kChangesPrefix.size()));
  }
  if (is_get && path == "audit") {
    return ShowAudit(request);
  }
  if (is_get && path == "status") {
    return ShowStatus();
  }
  if (is_get && path == "targets") {
    return ShowTargets();
  }
  if (is_get && path == "jobs") {
    return ShowJobs();
  }
  if (is_post && path == "log-level") {
    return ChangeLogLevel(request, *author);
  }
  if (is_post && path.starts_with(kJobsPrefix) && path.ends_with(kCancelSuffix)) {
    path.remove_prefix(kJobsPrefix.size());
    path.remove_suffix(kCancelSuffix.size());
    return CancelJob(path);
  }
  return RespondUnknown(kNotFound, "no_such_endpoint", request.path);
}

http_response operator_api::ShowConfiguration() {
  json body;
  context_.loop.Run([this, &body] {
    instant now = MonotonicNow();
    const configuration_record& record = context_.configuration.record();
    json missing = json::array();
    json reasons = json::object();
    for (const missing_target& party : context_.spread.decisions().MissingTargets(now)) {
      missing.push_back(party.name);
      reasons[party.name] = ToString(party.reason);
    }
    body = {{"version", record.version},
            {"text", record.text},
            {"leaving_failure_domains", record.leaving_failure_domains},
            {"leaving_targets", record.leaving_targets},
            {"in_force", context_.spread.decisions().IsInForce(now)},
            {"missing", missing},
            {"missing_reasons", reasons}};
  });
  return RespondJson(body.dump());
}

http_response operator_api::ChangeConfiguration(const http_request& request,
                                                const std::string& author) {
  absl::StatusOr<configuration_change> change = ParseChangeRequest(request.body);
  if (!change.ok()) {
    return Refuse(kBadRequest, "bad_request", change.status());
  }
  change->author = author;
  absl::StatusOr<audit_record> committed =
      CommitChange(context_.platform_table, *change, NowInRfc3339());
  if (!committed.ok()) {
    LogFact(log_level::kWarning, "change_refused",
            {{"author", author},
             {"change", change->change_id},
             {"error", MessageOf(committed.status())}});
    return RefuseChange(committed.status(), context_.platform_table);
  }
  LogFact(log_level::kInfo, "change_committed",
          {{"author", author},
           {"change", change->change_id},
           {"version", std::to_string(committed->to_version)}});
  return RespondJson(json({{"version", committed->to_version}, {"outcome", "committed"}}).dump());
}

http_response operator_api::ChangeLogLevel(const http_request& request, const std::string& author) {
  std::string text;
  absl::Status read = ReadSettings(
      request.body, "request", [&text](object_reader& body) { text = body.RequiredText("level"); });
  absl::StatusOr<log_level> level = read.ok() ? ParseLogLevel(text) : read;
  if (!level.ok()) {
    return Refuse(kUnprocessable, "bad_request", level.status());
  }
  SetLogLevel(*level);
  LogFact(log_level::kWarning, "log_level_changed", {{"author", author}, {"level", text}});
  return RespondJson(json({{"level", text}}).dump());
}

http_response operator_api::ShowChange(std::string_view change_id) {
  absl::StatusOr<audit_record> found = FindChange(context_.platform_table, change_id);
  if (found.ok()) {
    return RespondJson(ToJson(*found).dump());
  }
  if (found.status().code() == absl::StatusCode::kNotFound) {
    return Refuse(kNotFound, "not_applied", found.status());
  }
  return Refuse(kServiceUnavailable, "table_unavailable", found.status());
}

http_response operator_api::ShowAudit(const http_request& request) {
  uint64_t after = 0;
  if (auto text = request.query.find("after"); text != request.query.end()) {
    after = std::strtoull(text->second.c_str(), nullptr, 10);
  }
  absl::StatusOr<std::vector<audit_record>> trail = ReadAuditTrail(context_.platform_table, after);
  if (!trail.ok()) {
    return Refuse(kServiceUnavailable, "table_unavailable", trail.status());
  }
  json records = json::array();
  std::ranges::transform(*trail, std::back_inserter(records), ToJson);
  return RespondJson(json({{"audit", records}}).dump());
}

http_response operator_api::ShowStatus() {
  json body;
  context_.loop.Run([this, &body] {
    std::optional<duration> age = context_.spread.decisions().ReadAge(MonotonicNow());
    const dispatcher_counters& counters = context_.dispatch.decisions().counters();
    body = {{"version", context_.configuration.current().version},
            {"table_read_age_ms", age.has_value() ? json(ToMilliseconds(*age)) : json()},
            {"registry_revision", context_.targets.revision()},
            {"uptime_ms", context_.dispatch.UptimeMs()},
            {"targets", context_.dispatch.Targets().size()},
            {"jobs_in_progress", context_.dispatch.decisions().jobs_in_progress()},
            {"waiting_tasks", context_.dispatch.decisions().waiting_count()},
            {"jobs_complete", counters.jobs_complete},
            {"jobs_failed_not_run", counters.jobs_failed_not_run},
            {"jobs_failed_may_have_run", counters.jobs_failed_may_have_run},
            {"tasks_sent", counters.tasks_sent},
            {"tasks_refused", counters.tasks_refused}};
  });
  return RespondJson(body.dump());
}

uint64_t operator_api::ConfirmedVersion(const target_status& target) const {
  // A daemon confirms table revisions; of older ones the version is not known here.
  bool is_newest = target.report.enforced_version >= context_.configuration.revision();
  return is_newest ? context_.configuration.current().version : 0;
}

http_response operator_api::ShowTargets() {
  json targets = json::array();
  context_.loop.Run([this, &targets] {
    for (const target_status& target : context_.dispatch.Targets()) {
      targets.push_back({{"name", target.row.incarnation.target},
                         {"incarnation", target.row.incarnation.number},
                         {"service", target.row.service},
                         {"failure_domain", target.row.failure_domain},
                         {"slots", target.row.slots},
                         {"running", target.report.load.running},
                         {"queued", target.report.load.queued},
                         {"state", StateOf(target, context_.configuration.current())},
                         {"confirmed_version", ConfirmedVersion(target)}});
    }
  });
  return RespondJson(json({{"targets", targets}}).dump());
}

http_response operator_api::ShowJobs() {
  json jobs = json::array();
  context_.loop.Run([this, &jobs] {
    context_.dispatch.decisions().ForEachInProgress(
        [this, &jobs](const job_key& key, const owned_job& job) {
          job_id id{.key = key,
                    .minted_uptime_ms = job.submission.minted_uptime_ms,
                    .registry_revision = job.submission.registry_revision,
                    .team = job.submission.team,
                    .owner_address = context_.rpc_address};
          jobs.push_back({{"job", context_.ids.Encode(id)},
                          {"team", job.submission.team},
                          {"tasks", job.tasks.size()},
                          {"handed_over", job.handed_over},
                          {"stage", job.stage}});
        });
  });
  return RespondJson(json({{"jobs", jobs}}).dump());
}

http_response operator_api::CancelJob(std::string_view id_text) {
  absl::StatusOr<job_id> id = context_.ids.Decode(id_text);
  if (!id.ok()) {
    return Refuse(kNotFound, "unknown_job", id.status());
  }
  auto answered = std::make_shared<std::promise<http_response>>();
  std::future<http_response> answer = answered->get_future();
  context_.loop.Post([this, id = *id, text = std::string(id_text), answered] {
    jobs_.Cancel(id, text,
                 [answered](http_response response) { answered->set_value(std::move(response)); });
  });
  return answer.get();
}

}  // namespace wagtail
