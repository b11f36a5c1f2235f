#include "worker.h"

#include <algorithm>
#include <chrono>

namespace review {
namespace {

using json = nlohmann::json;

constexpr int64_t kMaxHoldMs = 1000;
constexpr int64_t kStopMs = 10;
constexpr size_t kMaxEnds = 500;
constexpr milliseconds kTick{1};

int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

worker::worker(worker_options options, record& notes)
    : options_(std::move(options)), notes_(notes) {
  advancing_ = std::thread([this] { Advance(); });
  beating_ = std::thread([this] { Beat(); });
}

worker::~worker() {
  Crash();
  {
    std::lock_guard lock(mutex_);
    ending_ = true;
  }
  changed_.notify_all();
  advancing_.join();
  beating_.join();
}

int64_t worker::ClockMs() const { return NowMs() - began_ + 1; }

bool worker::Start() {
  {
    std::lock_guard lock(mutex_);
    began_ = NowMs();
    born_ = std::max(UnixMs(), born_ + 1);
    sequence_ = 0;
    fence_ = 0;
    lease_ms_ = 0;
    next_end_ = 1;
    runs_.clear();
    highest_ended_.clear();
    ends_.clear();
    state_ = "ready";
    dark_ = false;
    up_ = true;
  }
  server_ = std::make_unique<http_server>(
      [this](const http_message& request) { return Answer(request); });
  bool listens = server_->Start(options_.address);
  notes_.Write("worker " + options_.id + " starts at " + options_.address);
  return listens;
}

void worker::Crash() {
  {
    std::lock_guard lock(mutex_);
    if (!up_) {
      return;
    }
    up_ = false;
    for (const run& each : runs_) {
      notes_.OnRunEnded(each.task, each.number, options_.id, "worker ended");
    }
    runs_.clear();
  }
  changed_.notify_all();
  server_.reset();
  notes_.Write("worker " + options_.id + " has ended");
}

void worker::GoDark() {
  SetFate([](const http_message&) { return fate::kDrop; });
  beats_ = false;
  std::lock_guard lock(mutex_);
  dark_ = true;
  for (const run& each : runs_) {
    notes_.OnRunEnded(each.task, each.number, options_.id, "worker ended");
  }
  runs_.clear();
  notes_.Write("worker " + options_.id + " has ended, its machine is dark");
}

void worker::SetFate(fate_hook decide) {
  std::lock_guard lock(mutex_);
  decide_ = std::move(decide);
}

void worker::SetState(const std::string& state) {
  std::lock_guard lock(mutex_);
  state_ = state;
}

size_t worker::Running() {
  std::lock_guard lock(mutex_);
  return runs_.size();
}

json worker::Announcement() {
  std::lock_guard lock(mutex_);
  return {{"service", options_.service},
          {"addr", options_.address},
          {"zone", options_.zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", state_},
          {"cold_left_ms", 0},
          {"capacity", {{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", 0}}},
          {"labels", {"a", "r1-1"}},
          {"clock_ms", ClockMs()},
          {"born", born_},
          {"seq", ++sequence_}};
}

bool worker::SendHeartbeat() {
  std::string body = Announcement().dump();
  auto answer =
      Call(options_.control,
           {.method = "POST", .target = "/-/Instances.Heartbeat/" + options_.id, .body = body},
           milliseconds(1000));
  return answer.has_value() && answer->status / 100 == 2;
}

void worker::Beat() {
  std::unique_lock lock(mutex_);
  while (!ending_) {
    bool sends = up_ && beats_;
    if (sends) {
      lock.unlock();
      sends = SendHeartbeat();
      lock.lock();
    }
    bool was_up = up_;
    // Unacknowledged heartbeats are sent again soon.
    milliseconds pause = sends ? options_.heartbeat : milliseconds(100);
    changed_.wait_for(lock, pause, [&] { return ending_ || (up_ && !was_up); });
  }
}

void worker::Advance() {
  std::unique_lock lock(mutex_);
  while (!ending_) {
    changed_.wait_for(lock, kTick);
    int64_t now = ClockMs();
    std::vector<std::pair<run, std::string>> ended;
    for (const run& each : runs_) {
      if (each.stops_at_ms.has_value() && *each.stops_at_ms <= now) {
        ended.emplace_back(each, "stopped");
      } else if (each.end_ms <= now && each.end_ms <= lease_ms_) {
        ended.emplace_back(each, "done");
      } else if (lease_ms_ < now) {
        ended.emplace_back(each, "lapsed");
      }
    }
    for (const auto& [each, how] : ended) {
      End(each, how);
    }
  }
}

void worker::End(const run& ended, const std::string& how) {
  const run copy = ended;
  std::erase_if(runs_, [&](const run& each) { return each.task == copy.task; });
  uint32_t& highest = highest_ended_[copy.task];
  highest = std::max(highest, copy.number);
  ends_.push_back({next_end_++, copy.task, copy.number, how, ""});
  notes_.OnRunEnded(copy.task, copy.number, options_.id, how);
  changed_.notify_all();
}

std::optional<http_message> worker::Answer(const http_message& request) {
  fate_hook decide;
  {
    std::lock_guard lock(mutex_);
    decide = decide_;
  }
  switch (decide ? decide(request) : fate::kAnswer) {
    case fate::kAnswer: {
      std::optional<http_message> answer = CarryOut(request);
      std::unique_lock lock(mutex_);
      if (!dark_) {
        return answer;
      }
      changed_.wait(lock, [&] { return !up_ || ending_; });
      return std::nullopt;
    }
    case fate::kLoseAnswer:
      CarryOut(request);
      break;
    case fate::kHoldBack: {
      std::lock_guard lock(mutex_);
      held_back_.push_back(request);
      break;
    }
    case fate::kDrop:
      break;
  }
  notes_.Write("worker " + options_.id + " leaves unanswered: " + request.target + " " +
               request.body);
  // The connection stays open and silent until the caller gives up.
  std::unique_lock lock(mutex_);
  int64_t born = born_;
  changed_.wait_for(lock, milliseconds(4000), [&] { return !up_ || ending_ || born != born_; });
  return std::nullopt;
}

void worker::CarryOutHeldBack() {
  std::vector<http_message> held_back;
  {
    std::lock_guard lock(mutex_);
    held_back.swap(held_back_);
  }
  for (const http_message& request : held_back) {
    notes_.Write("worker " + options_.id + " carries out late: " + request.target + " " +
                 request.body);
    CarryOut(request);
  }
}

std::optional<http_message> worker::CarryOut(const http_message& request) {
  json order = json::parse(request.body, nullptr, false);
  auto instance = request.headers.find("expect-instance");
  if (instance != request.headers.end() && instance->second != options_.id) {
    return Reply(421, json::object());
  }
  if (!order.is_object()) {
    return Reply(400, json::object());
  }
  if (request.target == "/-/run-start") {
    return StartRun(order);
  }
  if (request.target == "/-/run-stop") {
    return StopRun(order);
  }
  if (request.target == "/-/hold") {
    return Hold(order);
  }
  return Reply(404, json::object());
}

http_message worker::Reply(int status, json body) const {
  body["clock_ms"] = ClockMs();
  return {.status = status, .headers = {{"content-type", "application/json"}}, .body = body.dump()};
}

std::optional<http_message> worker::CheckFence(const json& order) {
  int64_t fence = order.value("fence", int64_t{0});
  if (fence < fence_) {
    return Reply(409, {{"reason", "fence"}});
  }
  fence_ = fence;
  return std::nullopt;
}

void worker::TakeLease(const json& order) {
  if (order.contains("deadline_ms")) {
    int64_t until = std::min(order["deadline_ms"].get<int64_t>(), ClockMs() + kMaxHoldMs);
    lease_ms_ = std::max(lease_ms_, until);
  }
}

http_message worker::StartRun(const json& order) {
  std::lock_guard lock(mutex_);
  if (!up_) {
    return Reply(503, json::object());
  }
  if (auto refusal = CheckFence(order)) {
    return *refusal;
  }
  std::string task = order.at("task");
  uint32_t number = order.at("run");
  if (order.value("deadline_ms", int64_t{0}) <= ClockMs()) {
    return Reply(409, {{"reason", "late"}});
  }
  TakeLease(order);
  auto known = std::ranges::find(runs_, task, &run::task);
  if (known != runs_.end()) {
    return known->number == number ? Reply(200, json::object()) : Reply(409, {{"reason", "old"}});
  }
  auto highest = highest_ended_.find(task);
  if (highest != highest_ended_.end() && number <= highest->second) {
    return Reply(409, {{"reason", "old"}});
  }
  std::string spec = order.at("job_spec");
  runs_.push_back({.task = task, .number = number, .end_ms = ClockMs() + std::atoi(spec.c_str())});
  notes_.OnRunStarted(task, number, options_.id, spec);
  return Reply(200, json::object());
}

http_message worker::StopRun(const json& order) {
  std::lock_guard lock(mutex_);
  if (auto refusal = CheckFence(order)) {
    return *refusal;
  }
  std::string task = order.at("task");
  uint32_t number = order.at("run");
  auto known = std::ranges::find(runs_, task, &run::task);
  if (known != runs_.end() && known->number == number) {
    known->stops_at_ms = ClockMs() + kStopMs;
  } else {
    uint32_t& highest = highest_ended_[task];
    highest = std::max(highest, number);
  }
  return Reply(200, json::object());
}

http_message worker::Hold(const json& order) {
  std::unique_lock lock(mutex_);
  if (auto refusal = CheckFence(order)) {
    return *refusal;
  }
  TakeLease(order);
  int64_t seen = order.value("last_seen", int64_t{0});
  std::erase_if(ends_, [&](const json& end) { return end[0].get<int64_t>() <= seen; });
  int64_t born = born_;
  changed_.wait_for(lock, milliseconds(order.value("wait_ms", 0)),
                    [&] { return !ends_.empty() || !up_ || ending_ || born != born_; });
  json running = json::array();
  for (const run& each : runs_) {
    running.push_back({each.task, each.number, "", 100, 0});
  }
  json ended = json::array();
  for (const json& end : ends_) {
    if (ended.size() < kMaxEnds) {
      ended.push_back(end);
    }
  }
  return Reply(200, {{"running", running}, {"ended", ended}, {"born", born_}});
}

}  // namespace review
