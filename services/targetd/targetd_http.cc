#include "services/targetd/targetd_http.h"

#include <nlohmann/json.hpp>

#include "configuration/configuration_text.h"
#include "metrics/metrics_registry.h"
#include "metrics/process_metrics.h"
#include "settings/settings_text.h"

namespace wagtail {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kServiceUnavailable = 503;
constexpr uint64_t kMaxSlots = 256;
constexpr uint64_t kMaxCores = 4096;
constexpr uint64_t kMaxMemoryMb = 1 << 26;

http_response Respond(int status, const nlohmann::json& body) {
  http_response response{.status = status, .headers = {}, .body = body.dump()};
  response.headers["content-type"] = "application/json";
  return response;
}

http_response AnswerAnnouncement(target_daemon& daemon, const std::string& text) {
  target_announcement told;
  std::string name;
  absl::Status read = ReadSettings(text, "announcement", [&told, &name](object_reader& body) {
    name = body.Text("target", "", NameRule());
    told.service = body.RequiredText("service", NameRule());
    told.url = body.RequiredText("url");
    told.slots = static_cast<uint32_t>(body.RequiredUnsigned("slots", {1, kMaxSlots}));
    told.cores = static_cast<uint32_t>(body.Unsigned("cores", 0, {0, kMaxCores}));
    told.memory_mb = static_cast<uint32_t>(body.Unsigned("memory_mb", 0, {0, kMaxMemoryMb}));
    told.accelerator = body.Text("accelerator", "", {.min_bytes = 0});
  });
  if (!read.ok()) {
    return Respond(kUnprocessable, {{"error", "bad_announcement"}, {"message", MessageOf(read)}});
  }
  if (!name.empty() && name != daemon.target()) {
    return Respond(kConflict, {{"error", "another_target"}, {"target", daemon.target()}});
  }
  absl::Status taken = daemon.Announce(told);
  if (taken.ok()) {
    return Respond(kOk, {{"announced", true}});
  }
  return Respond(kConflict, {{"error", "not_taken"}, {"message", MessageOf(taken)}});
}

http_response AnswerMetrics(target_daemon& daemon) {
  target_daemon_status status = daemon.Status();
  metrics_registry metrics;
  AddProcessMetrics(metrics);
  auto count = [&metrics](std::string_view name, std::string_view help, uint64_t value) {
    metrics.Counters(name, help).Add({}).Increment(static_cast<double>(value));
  };
  auto show = [&metrics](std::string_view name, std::string_view help, double value) {
    metrics.Gauges(name, help).Add({}).Set(value);
  };
  count("wagtail_target_tasks_started_total", "Tasks started.", status.counters.started);
  count("wagtail_target_tasks_finished_total", "Tasks finished.", status.counters.finished);
  count("wagtail_target_tasks_refused_total", "Tasks refused.", status.counters.refused);
  count("wagtail_target_jobs_fenced_total", "Jobs fenced by other entries.",
        status.counters.fenced_jobs);
  show("wagtail_target_running_tasks", "Tasks running now.", status.load.running);
  show("wagtail_target_queued_tasks", "Tasks accepted and not started.", status.load.queued);
  show("wagtail_target_records", "Start records kept.", static_cast<double>(status.records));
  show("wagtail_target_ready", "1 if a task would be started now.", status.ready ? 1 : 0);
  http_response response{.status = kOk, .headers = {}, .body = metrics.Write()};
  response.headers["content-type"] = "text/plain; version=0.0.4";
  return response;
}

}  // namespace

http_response AnswerTargetdRequest(target_daemon& daemon, const http_request& request) {
  if (request.method == "POST" && request.path == "/v1/announce") {
    return AnswerAnnouncement(daemon, request.body);
  }
  if (request.path == "/healthz") {
    return Respond(kOk, {{"alive", true}});
  }
  if (request.path == "/readyz") {
    bool is_ready = daemon.Status().ready;
    return Respond(is_ready ? kOk : kServiceUnavailable, {{"ready", is_ready}});
  }
  if (request.path == "/metrics") {
    return AnswerMetrics(daemon);
  }
  return Respond(kNotFound, {{"error", "no_such_endpoint"}});
}

}  // namespace wagtail
