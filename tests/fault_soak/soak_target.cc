#include "tests/fault_soak/soak_target.h"

#include <future>
#include <nlohmann/json.hpp>
#include <random>

#include "base/verify.h"
#include "http/http_client.h"
#include "platform/task_name.h"
#include "tests/fault_soak/soak_caller.h"

namespace wagtail::leased {
namespace {

using json = nlohmann::json;

constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kBadRequest = 400;
constexpr task_resources kCapacity{.cpu = 36'000, .mem_mb = 100'000, .gpu = 0};
constexpr duration kTick = std::chrono::milliseconds(1);
constexpr duration kHeartbeat = std::chrono::milliseconds(700);
/// A call that is carried out late comes between these.
constexpr duration kLeastLate = std::chrono::milliseconds(50);
constexpr duration kMostLate = std::chrono::milliseconds(2500);
/// Long enough to be still there when the job is sent again.
constexpr duration kLongRun = std::chrono::milliseconds(1700);
/// Longest time that a renewal may wait for an end.
constexpr duration kLongestWait = std::chrono::milliseconds(2500);

http_response Json(int status, const json& body) {
  return {.status = status, .headers = {{"content-type", "application/json"}}, .body = body.dump()};
}

std::string_view ReasonOf(start_answer answer) {
  switch (answer) {
    case start_answer::kFenced:
      return "fence";
    case start_answer::kStaleRun:
      return "old";
    case start_answer::kLeaseExpired:
      return "late";
    default:
      return "room";
  }
}

std::string_view HowOf(end_kind kind) {
  switch (kind) {
    case end_kind::kDone:
      return "done";
    case end_kind::kFailed:
      return "failed";
    case end_kind::kStopped:
      return "stopped";
    default:
      return "lapsed";
  }
}

/// @return whether the tasks of a job, named by a random number, run for long: an eighth of them
bool IsLong(const std::string& job) { return job < "2"; }

}  // namespace

soak_target::soak_target(const soak_target_options& options, run_checker& watch)
    : options_(options), watch_(watch), began_(MonotonicNow()), random_(options.seed) {
  fake_leased_target::settings settings{
      .id = options_.id,
      .capacity = kCapacity,
      .run_time_of =
          [this](const task_ref& task) { return IsLong(task.job) ? kLongRun : options_.run_time; },
      .keeps_id = options_.keeps_id};
  target_ = std::make_unique<fake_leased_target>(
      time_, settings,
      [this](const task_ref& task) {
        ++running_;
        CheckRoom();
        watch_.Began(task, options_.domain + "/" + options_.id);
      },
      [this](const task_ref& task) {
        --running_;
        watch_.Over(task, options_.domain + "/" + options_.id);
      });
  auto started = http_server::Start(
      {.address = options_.ip}, [this](const http_request& request) { return Answer(request); });
  VERIFY(started.ok());
  server_ = *std::move(started);
  relay_ =
      std::make_unique<tcp_relay>(loopback_address{.ip = options_.ip},
                                  loopback_address{.ip = options_.ip, .port = server_->port()});
  clock_ = std::jthread([this] { KeepTime(); });
  heartbeats_ = std::jthread([this] { SendHeartbeats(); });
}

soak_target::~soak_target() {
  ending_ = true;
  heartbeats_.join();
  server_->Stop();
  clock_.join();
}

void soak_target::CheckRoom() {
  if (int64_t{running_} * kSoakTaskCpu > kCapacity.cpu) {
    watch_.Broken("more running than fits at " + options_.id);
  }
}

void soak_target::KeepTime() {
  instant start = time_.now();
  while (!ending_) {
    {
      std::lock_guard lock(mutex_);
      time_.RunUntil(start + (MonotonicNow() - began_));
    }
    std::this_thread::sleep_for(kTick);
  }
}

void soak_target::Crash() {
  relay_->SetMode(relay_mode::kCut);
  std::lock_guard lock(mutex_);
  target_->Crash();
}

void soak_target::Restart() {
  {
    std::lock_guard lock(mutex_);
    target_->Restart();
  }
  relay_->SetMode(relay_mode::kPass);
}

void soak_target::SetFailing(double share) {
  std::lock_guard lock(mutex_);
  target_->failing = share;
}

std::optional<duration> soak_target::Lateness() {
  std::lock_guard lock(mutex_);
  bool late = std::uniform_real_distribution<double>(0, 1)(random_) < late_orders;
  std::uniform_int_distribution<int64_t> spread(kLeastLate.count(), kMostLate.count());
  return late ? std::optional(duration(spread(random_))) : std::nullopt;
}

http_response soak_target::Answer(const http_request& request) {
  if (auto late = Lateness(); late.has_value()) {
    std::this_thread::sleep_for(*late);
  }
  auto instance = request.headers.find("expect-instance");
  {
    std::lock_guard lock(mutex_);
    if (!target_->up()) {
      return Json(kUnavailable, json::object());
    }
    if (instance == request.headers.end() || instance->second != target_->Id()) {
      return Json(kMisdirected, {{"clock_ms", target_->ClockMs()}});
    }
  }
  if (request.path == "/-/run-start") {
    return Start(request.body);
  }
  if (request.path == "/-/run-stop") {
    return Stop(request.body);
  }
  if (request.path == "/-/hold") {
    return Hold(request.body);
  }
  return Json(kBadRequest, json::object());
}

http_response soak_target::Start(const std::string& body) {
  json asked = json::parse(body);
  auto task = platform::ParseTaskName(asked.at("task").get<std::string>());
  VERIFY(task.has_value());
  std::lock_guard lock(mutex_);
  start_call call{.instance = target_->Id(),
                  .task = *task,
                  .run = asked.at("run"),
                  .lease_until_ms = asked.at("deadline_ms"),
                  .fence = asked.at("fence")};
  start_answer answer = target_->Start(call);
  json said = {{"clock_ms", target_->ClockMs()}};
  if (answer == start_answer::kStarted) {
    return Json(200, said);
  }
  said["reason"] = ReasonOf(answer);
  return Json(kConflict, said);
}

http_response soak_target::Stop(const std::string& body) {
  json asked = json::parse(body);
  auto task = platform::ParseTaskName(asked.at("task").get<std::string>());
  VERIFY(task.has_value());
  std::lock_guard lock(mutex_);
  target_->Stop({.instance = target_->Id(),
                 .task = *task,
                 .run = asked.at("run"),
                 .fence = asked.at("fence")});
  return Json(200, {{"clock_ms", target_->ClockMs()}});
}

http_response soak_target::Hold(const std::string& body) {
  json asked = json::parse(body);
  renew_call call{.fence = asked.at("fence"),
                  .last_end = asked.value("last_seen", uint64_t{0}),
                  .wait = std::chrono::milliseconds(asked.value("wait_ms", 0))};
  if (asked.contains("deadline_ms")) {
    call.lease_until_ms = asked["deadline_ms"].get<int64_t>();
  }
  struct outcome {
    std::optional<target_report> report;
    renew_failure failure;
  };
  auto answered = std::make_shared<std::promise<outcome>>();
  std::future<outcome> waiting = answered->get_future();
  {
    std::lock_guard lock(mutex_);
    call.instance = target_->Id();
    target_->Renew(call, [answered](std::optional<target_report> report, renew_failure failure) {
      answered->set_value({std::move(report), failure});
    });
  }
  if (waiting.wait_for(kLongestWait) != std::future_status::ready) {
    return Json(kUnavailable, json::object());  // it crashed meanwhile
  }
  outcome result = waiting.get();
  if (!result.report.has_value()) {
    return Json(kConflict, {{"reason", "fence"}});
  }
  json running = json::array();
  for (const reported_run& each : result.report->running) {
    running.push_back({platform::TaskName(each.task), each.run, "", 100});
  }
  json ended = json::array();
  for (const reported_end& each : result.report->ended) {
    ended.push_back({each.number, platform::TaskName(each.task), each.run, HowOf(each.kind), ""});
  }
  return Json(200, {{"clock_ms", result.report->clock_ms},
                    {"born", result.report->start_time_ms},
                    {"running", running},
                    {"ended", ended}});
}

void soak_target::SendHeartbeats() {
  while (!ending_) {
    std::optional<target_announcement> said;
    {
      std::lock_guard lock(mutex_);
      if (target_->up()) {
        said = target_->Announcement();
      }
    }
    if (said.has_value()) {
      json body = {{"service", said->service},
                   {"addr", options_.ip + ":" + std::to_string(relay_->port())},
                   {"zone", options_.domain},
                   {"state", "ready"},
                   {"capacity",
                    {{"cpu", said->capacity.cpu},
                     {"mem_mb", said->capacity.mem_mb},
                     {"gpu", said->capacity.gpu}}},
                   {"born", said->start_time_ms},
                   {"clock_ms", *said->clock_ms},
                   {"seq", said->sequence}};
      // An agent that is down hears the next one.
      static_cast<void>(
          CallHttp({.method = "POST",
                    .url = "http://" + options_.control + "/-/Instances.Heartbeat/" + said->id,
                    .headers = {{"content-type", "application/json"}},
                    .body = body.dump(),
                    .timeout = std::chrono::seconds(1)}));
    }
    std::this_thread::sleep_for(kHeartbeat);
  }
}

}  // namespace wagtail::leased
