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
constexpr duration kHeartbeatInterval = std::chrono::milliseconds(700);
/// Range of the delay of a call that is carried out late.
constexpr duration kMinDelay = std::chrono::milliseconds(50);
constexpr duration kMaxDelay = std::chrono::milliseconds(2500);
/// Long enough that the run has not ended when the job is sent again.
constexpr duration kLongRun = std::chrono::milliseconds(1700);
/// Maximum time that a renewal may wait for the end of a run.
constexpr duration kMaxRenewalWait = std::chrono::milliseconds(2500);

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

std::string_view EndName(end_kind kind) {
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

/// @return whether the tasks of a job run for long: true for an eighth of the random job ids
bool IsLong(const std::string& job) { return job < "2"; }

}  // namespace

soak_target::soak_target(const soak_target_options& options, run_checker& checker)
    : options_(options), checker_(checker), started_at_(MonotonicNow()), random_(options.seed) {
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
        CheckCapacity();
        checker_.OnRunStarted(task, options_.domain + "/" + options_.id);
      },
      [this](const task_ref& task) {
        --running_;
        checker_.OnRunEnded(task, options_.domain + "/" + options_.id);
      });
  auto started = http_server::Start(
      {.address = options_.ip}, [this](const http_request& request) { return Answer(request); });
  VERIFY(started.ok());
  server_ = *std::move(started);
  relay_ =
      std::make_unique<tcp_relay>(loopback_address{.ip = options_.ip},
                                  loopback_address{.ip = options_.ip, .port = server_->port()});
  clock_ = std::jthread([this] { AdvanceTime(); });
  messages_ = std::jthread([this] { SendMessages(); });
}

soak_target::~soak_target() {
  stopping_ = true;
  outbox_changed_.notify_all();
  messages_.join();
  server_->Stop();
  clock_.join();
}

void soak_target::CheckCapacity() {
  if (int64_t{running_} * kSoakTaskCpu > kCapacity.cpu) {
    checker_.ReportViolation("more running than the capacity allows at " + options_.id);
  }
}

void soak_target::AdvanceTime() {
  instant start = time_.now();
  while (!stopping_) {
    {
      std::lock_guard lock(mutex_);
      time_.RunUntil(start + (MonotonicNow() - started_at_));
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
    if (!target_->up()) {
      draining_ = false;
      target_->Restart();
    }
  }
  relay_->SetMode(relay_mode::kPass);
}

std::optional<uint64_t> soak_target::Incarnation() {
  std::lock_guard lock(mutex_);
  return target_->up() ? std::optional(target_->incarnation()) : std::nullopt;
}

void soak_target::Drain() {
  {
    std::lock_guard lock(mutex_);
    draining_ = true;
  }
  Send(Heartbeat());
}

void soak_target::SetFailing(double share) {
  std::lock_guard lock(mutex_);
  target_->failing = share;
}

std::optional<duration> soak_target::DrawDelay() {
  std::lock_guard lock(mutex_);
  bool late = std::uniform_real_distribution<double>(0, 1)(random_) < late_orders;
  std::uniform_int_distribution<int64_t> distribution(kMinDelay.count(), kMaxDelay.count());
  return late ? std::optional(duration(distribution(random_))) : std::nullopt;
}

http_response soak_target::Answer(const http_request& request) {
  if (auto delay = DrawDelay(); delay.has_value()) {
    std::this_thread::sleep_for(*delay);
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
    return Renew(request.body);
  }
  return Json(kBadRequest, json::object());
}

http_response soak_target::Start(const std::string& body) {
  json request = json::parse(body);
  auto task = platform::ParseTaskName(request.at("task").get<std::string>());
  VERIFY(task.has_value());
  std::lock_guard lock(mutex_);
  start_call call{.instance = target_->Id(),
                  .task = *task,
                  .run = request.at("run"),
                  .lease_until_ms = request.at("deadline_ms"),
                  .fence = request.at("fence")};
  start_answer answer = target_->Start(call);
  json response = {{"clock_ms", target_->ClockMs()}};
  if (answer == start_answer::kStarted) {
    return Json(200, response);
  }
  response["reason"] = ReasonOf(answer);
  return Json(kConflict, response);
}

http_response soak_target::Stop(const std::string& body) {
  json request = json::parse(body);
  auto task = platform::ParseTaskName(request.at("task").get<std::string>());
  VERIFY(task.has_value());
  std::lock_guard lock(mutex_);
  target_->Stop({.instance = target_->Id(),
                 .task = *task,
                 .run = request.at("run"),
                 .fence = request.at("fence")});
  return Json(200, {{"clock_ms", target_->ClockMs()}});
}

http_response soak_target::Renew(const std::string& body) {
  json request = json::parse(body);
  renew_call call{.fence = request.at("fence"),
                  .last_end = request.value("last_seen", uint64_t{0}),
                  .wait = std::chrono::milliseconds(request.value("wait_ms", 0))};
  if (request.contains("deadline_ms")) {
    call.lease_until_ms = request["deadline_ms"].get<int64_t>();
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
  if (waiting.wait_for(kMaxRenewalWait) != std::future_status::ready) {
    return Json(kUnavailable, json::object());  // the target crashed meanwhile
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
    ended.push_back({each.number, platform::TaskName(each.task), each.run, EndName(each.kind), ""});
  }
  return Json(200, {{"clock_ms", result.report->clock_ms},
                    {"born", result.report->start_time_ms},
                    {"running", running},
                    {"ended", ended}});
}

std::string soak_target::AnnouncementBody() {
  target_announcement announcement = target_->Announcement();
  return json{{"service", announcement.service},
              {"addr", options_.ip + ":" + std::to_string(relay_->port())},
              {"zone", options_.domain},
              {"state", draining_ ? "draining" : "ready"},
              {"capacity",
               {{"cpu", announcement.capacity.cpu},
                {"mem_mb", announcement.capacity.mem_mb},
                {"gpu", announcement.capacity.gpu}}},
              {"born", announcement.start_time_ms},
              {"clock_ms", *announcement.clock_ms},
              {"seq", announcement.sequence}}
      .dump();
}

soak_target::message soak_target::Heartbeat() {
  std::lock_guard lock(mutex_);
  return {.path = "/-/Instances.Heartbeat/" + target_->Id(), .body = AnnouncementBody()};
}

soak_target::message soak_target::Deregistration(bool tells_incarnation) {
  std::lock_guard lock(mutex_);
  return {.path = "/-/Instances.Deregister/" + target_->Id(),
          .body = tells_incarnation ? AnnouncementBody() : ""};
}

void soak_target::Send(message sent) {
  std::lock_guard lock(mutex_);
  outbox_.push_back(std::move(sent));
  outbox_changed_.notify_all();
}

std::optional<soak_target::message> soak_target::NextMessage(instant heartbeat) {
  std::unique_lock lock(mutex_);
  outbox_changed_.wait_until(lock, heartbeat, [this] { return stopping_ || !outbox_.empty(); });
  if (outbox_.empty()) {
    return std::nullopt;
  }
  message next = std::move(outbox_.front());
  outbox_.pop_front();
  return next;
}

void soak_target::Deliver(const message& sent) const {
  // Failures are ignored: an agent that is down gets the next heartbeat.
  static_cast<void>(CallHttp({.method = "POST",
                              .url = "http://" + options_.control + sent.path,
                              .headers = {{"content-type", "application/json"}},
                              .body = sent.body,
                              .timeout = std::chrono::seconds(1)}));
}

void soak_target::SendMessages() {
  instant heartbeat = MonotonicNow();
  while (!stopping_) {
    if (std::optional<message> next = NextMessage(heartbeat); next.has_value()) {
      Deliver(*next);
    } else if (MonotonicNow() >= heartbeat) {
      if (Incarnation().has_value()) {
        Deliver(Heartbeat());
      }
      heartbeat = MonotonicNow() + kHeartbeatInterval;
    }
  }
}

}  // namespace wagtail::leased
