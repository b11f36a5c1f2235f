#include "tests/stand_ins/target/stand_in_target.h"

#include <algorithm>
#include <utility>

#include "base/identifiers.h"

namespace wagtail {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTaskFailed = 500;
constexpr int kStopping = 503;
/// Enough for the daemon, control requests and retries of abandoned calls.
constexpr unsigned kConnectionsPerTarget = 256;
constexpr int64_t kMaxRunMs = 3'600'000;

std::string HeaderOf(const http_request& request, std::string_view name) {
  auto header = request.headers.find(name);
  return header == request.headers.end() ? std::string() : header->second;
}

}  // namespace

stand_in_target::stand_in_target(target_settings settings)
    : settings_(std::move(settings)), behaviour_(settings_.behaviour) {}

http_server_options stand_in_target::server_options() const {
  return {.address = settings_.address,
          .port = static_cast<uint16_t>(settings_.port),
          .max_connections = kConnectionsPerTarget};
}

void stand_in_target::OnListening(uint16_t port) {
  if (!settings_.daemon_url.empty()) {
    announcer_ = std::make_unique<announcer>(settings_, port);
  }
}

void stand_in_target::OnStopping() {
  announcer_.reset();
  std::lock_guard lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
}

http_response stand_in_target::Handle(const http_request& request) {
  if (request.path == "/run" && request.method == "POST") {
    return Run(request);
  }
  if (request.path == "/control" && request.method == "POST") {
    return Control(request);
  }
  if (request.path == "/control" && request.method == "GET") {
    return Counters(request.query.contains("tasks") ? detail::kEveryTask : detail::kTotals);
  }
  return ErrorAnswer(kNotFound, "no such path");
}

http_response stand_in_target::Control(const http_request& request) {
  auto reader = control_reader::Parse(request.body);
  if (!reader.ok()) {
    return ErrorAnswer(kBadRequest, MessageOf(reader.status()));
  }
  {
    std::lock_guard lock(mutex_);
    target_behaviour changed = behaviour_;
    changed.ReadFrom(*reader);
    absl::Status fault = reader->Finish();
    if (!fault.ok()) {
      return ErrorAnswer(kBadRequest, MessageOf(fault));
    }
    behaviour_ = changed;
    changed_.notify_all();
  }
  return Counters(detail::kTotals);
}

http_response stand_in_target::Counters(detail detail) {
  std::lock_guard lock(mutex_);
  nlohmann::json doubled_tasks = nlohmann::json::object();
  nlohmann::json tasks = nlohmann::json::object();
  for (const auto& [key, starts] : starts_by_task_) {
    if (starts > 1) {
      doubled_tasks[key.job + "/" + key.task] = starts;
    }
    if (detail == detail::kEveryTask) {
      tasks[key.job + "/" + key.task] = starts;
    }
  }
  nlohmann::json body{
      {"target", settings_.target},  {"starts", starts_},
      {"doubled", doubled_},         {"doubled_tasks", std::move(doubled_tasks)},
      {"completed", completed_},     {"failed", failed_},
      {"running_now", running_},     {"running_max", running_max_},
      {"waiting_max", waiting_max_}, {"announcements", announcer_ ? announcer_->accepted() : 0}};
  if (detail == detail::kEveryTask) {
    body["tasks"] = std::move(tasks);
  }
  return JsonAnswer(kOk, body);
}

http_response stand_in_target::Run(const http_request& request) {
  run_key key{.job = HeaderOf(request, "x-wagtail-job"),
              .task = HeaderOf(request, "x-wagtail-task")};
  if (key.job.empty() || key.task.empty()) {
    return ErrorAnswer(kBadRequest, "x-wagtail-job and x-wagtail-task are needed");
  }
  std::unique_lock lock(mutex_);
  if (stopping_) {
    return ErrorAnswer(kStopping, "stopping, not run");
  }
  ++starts_;
  uint64_t times = ++starts_by_task_[key];
  doubled_ += times == 2 ? 1 : 0;
  if (behaviour_.fail_all) {
    ++failed_;
    return ErrorAnswer(kTaskFailed, "failed");
  }
  return RunInSlot(lock, key, request);
}

http_response stand_in_target::RunInSlot(std::unique_lock<std::mutex>& lock, const run_key& key,
                                         const http_request& request) {
  ++waiting_;
  waiting_max_ = std::max(waiting_max_, waiting_);
  changed_.wait(lock, [this] { return stopping_ || running_ < settings_.slots; });
  --waiting_;
  ++running_;
  running_max_ = std::max(running_max_, running_);
  // Tasks in progress complete during a stop.
  instant ends = MonotonicNow() + RunTime(key, request.body);
  while (behaviour_.stall ? !stopping_ : MonotonicNow() < ends) {
    changed_.wait_until(lock, behaviour_.stall ? MonotonicNow() + std::chrono::seconds(1) : ends);
  }
  --running_;
  changed_.notify_all();
  if (Chance(key, "failure") < behaviour_.fail_fraction) {
    ++failed_;
    return ErrorAnswer(kTaskFailed, "failed");
  }
  ++completed_;
  return JsonAnswer(kOk, {{"target", settings_.target}, {"echo", request.body}});
}

duration stand_in_target::RunTime(const run_key& key, const std::string& body) const {
  int64_t run_ms = behaviour_.base_ms;
  auto document = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (document.is_object() && document.contains("run_ms") &&
      document["run_ms"].is_number_integer()) {
    run_ms = std::clamp<int64_t>(document["run_ms"].get<int64_t>(), 0, kMaxRunMs);
  }
  double spread = 1 + behaviour_.jitter * (2 * Chance(key, "jitter") - 1);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(
      static_cast<double>(run_ms) * behaviour_.slowdown * spread));
}

double stand_in_target::Chance(const run_key& key, std::string_view purpose) const {
  std::string text = std::to_string(settings_.jitter_seed) + "/" + std::string(purpose) + "/" +
                     key.job + "/" + key.task;
  constexpr double kRange = 18446744073709551616.0;  // 2 to the 64th
  return static_cast<double>(DigestOf(text)) / kRange;
}

}  // namespace wagtail
