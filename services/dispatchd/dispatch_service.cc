#include "services/dispatchd/dispatch_service.h"

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

#include "base/layer_error.h"
#include "base/try.h"
#include "logging/logging.h"
#include "metrics/process_metrics.h"
#include "platform/job_json.h"
#include "platform/node_services.h"

namespace wagtail::leased {
namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr duration kTick = std::chrono::milliseconds(20);
/// How long the store may hold a request for changes of the plan.
constexpr duration kPlanWait = std::chrono::milliseconds(1000);
/// An entry that no agent has named for this long is no longer passed on.
constexpr duration kEntryMemory = std::chrono::seconds(10);
/// After a request to stop the balancer goes on sending connections for this long.
constexpr duration kBalancerNotices = std::chrono::milliseconds(2000);
/// New work is taken until this long before the process ends: callers keep using their connections.
constexpr duration kLastWork = std::chrono::milliseconds(1500);
/// Past a job's deadline its caller's thread waits this long for the answer.
constexpr duration kAnswerGrace = std::chrono::seconds(2);
constexpr std::array kAnswerSecondsBounds = {0.01, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0};

constexpr duration kStopPoll = std::chrono::milliseconds(20);

void SleepUntil(instant end) {
  duration left = end - BootTimeNow();
  if (left > duration::zero()) {
    std::this_thread::sleep_for(left);
  }
}

std::string_view NameOf(job_outcome outcome) {
  switch (outcome) {
    case job_outcome::kCompleted:
      return "completed";
    case job_outcome::kFailed:
      return "failed";
    case job_outcome::kRefused:
      return "refused";
    case job_outcome::kAbandoned:
      return "abandoned";
    case job_outcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace

dispatch_service::dispatch_service(const platform::node_settings& settings)
    : settings_(settings),
      answers_(&metrics_.Counters("wagtail_entry_answers_total", "Answers to jobs.")),
      answer_seconds_(&metrics_.Histograms("wagtail_entry_answer_seconds",
                                           "Time from a job's arrival to its answer.",
                                           kAnswerSecondsBounds)),
      shared_plan_(std::make_unique<const operating_plan>()),
      filters_(MakeFrontFilters(FrontHooks())) {
  AddProcessMetrics(metrics_);
}

dispatch_service::~dispatch_service() {
  front_server_.reset();
  ready_server_.reset();
  control_server_.reset();
  metrics_server_.reset();
  loop_.Stop([this] {
    agent_listener_.reset();
    sessions_.reset();
    plan_follower_.reset();
    store_.reset();
    board_.reset();
  });
}

absl::Status dispatch_service::Start() {
  loop_.Run([this] {
    MakeBoard();
    MakeSessions();
  });
  TRY(ListenForAgents());
  loop_.Run([this] {
    FollowStore();
    Tick();
  });
  ready_server_ = TRY(platform::ServeAt(
      settings_.ready, [this](const http_request& /*request*/) { return AnswerReady(); }));
  front_server_ = TRY(platform::ServeAt(settings_.front, [this](const http_request& request) {
    http_response response = RunFrontFilters(filters_, request);
    if (ClosesConnection()) {
      response.headers["connection"] = "close";
    }
    return response;
  }));
  if (!settings_.control.empty()) {
    // Targets announce themselves to the agents on their own VMs.
    control_server_ = TRY(platform::ServeAt(settings_.control, [](const http_request& /*request*/) {
      return http_response{.status = kUnavailable, .headers = {}, .body = "{}"};
    }));
  }
  metrics_server_ = TRY(platform::ServeMetrics(settings_.ip, metrics_));
  return absl::OkStatus();
}

absl::Status dispatch_service::ListenForAgents() {
  return connection_listener::Listen(
      loop_, settings_.SessionAddress(settings_.ip),
      [this](kj::Own<kj::AsyncIoStream> connection) { sessions_->Accept(kj::mv(connection)); },
      agent_listener_);
}

void dispatch_service::MakeBoard() {
  board_ = std::make_unique<job_scheduler>(
      job_scheduler_options{.targets = {.domain = settings_.domain}},
      [this](order_batch batch) {
        load_monitor_.Ordered();
        sessions_->Order(std::move(batch));
      },
      [this](session_id session, uint64_t order) { sessions_->Withdraw(session, order); },
      [this](request_serial serial, const job_answer& answer) {
        auto found = waiting_.find(serial);
        if (found != waiting_.end()) {
          found->second->Answer(answer);
          waiting_.erase(found);
        }
      },
      [](const job_log_event& note) {
        LogFact(log_level::kInfo, note.fact, {{"job", note.job}, {"detail", note.detail}});
      });
}

void dispatch_service::MakeSessions() {
  agent_sessions::hooks hooks;
  hooks.now = BootTimeNow;
  hooks.opened = [this](session_id session, const agent_identity& agent) {
    LogFact(log_level::kInfo, "agent_joined",
            {{"agent", agent.name}, {"address", agent.address}, {"session", session}});
    board_->OnSessionOpened(session, agent, BootTimeNow());
  };
  hooks.reported = [this](session_id session, const session_report& report) {
    load_monitor_.OnReport();
    board_->OnReport(session, report, BootTimeNow());
  };
  hooks.result = [this](const run_result& result) { board_->OnResult(result); };
  hooks.closed = [this](session_id session) {
    LogFact(log_level::kWarning, "agent_lost", {{"session", session}});
    board_->OnSessionClosed(session, BootTimeNow());
    Changed();
  };
  hooks.after_message = [this] { Changed(); };
  hooks.plan = [this]() -> const operating_plan& { return plan_.get(); };
  hooks.newer_plan = [this](operating_plan plan) { TakePlan(std::move(plan)); };
  hooks.entries = [this]() -> const std::vector<std::string>& { return known_entries_; };
  hooks.entry_reported = [this](const std::string& entry) { HeardOf(entry); };
  sessions_ = std::make_unique<agent_sessions>(loop_, std::move(hooks));
}

void dispatch_service::FollowStore() {
  store_ = std::make_unique<platform::store_client>(loop_, settings_.store);
  plan_follower_ = platform::FollowPlan(loop_, *store_, kPlanWait,
                                        [this](operating_plan plan) { TakePlan(std::move(plan)); });
  platform::RegisterEntry(loop_, *store_, settings_.SessionAddress(settings_.ip));
}

void dispatch_service::TakePlan(operating_plan plan) {
  if (!plan_.Offer(std::move(plan))) {
    return;
  }
  const operating_plan& taken = plan_.get();
  LogFact(log_level::kInfo, "plan_taken",
          {{"revision", taken.revision},
           {"version", taken.version},
           {"queues", taken.queues.size()},
           {"leaving_domains", taken.leaving_domains.size()}});
  shared_plan_.Publish(std::make_unique<const operating_plan>(taken));
  if (taken.version > 0) {
    first_plan_.Open();
  }
  board_->SetPlan(taken);
  Changed();
}

void dispatch_service::HeardOf(const std::string& entry) {
  if (entries_.insert_or_assign(entry, BootTimeNow()).second) {
    known_entries_ = KnownEntries();
  }
}

std::vector<std::string> dispatch_service::KnownEntries() const {
  std::vector<std::string> known;
  instant now = BootTimeNow();
  for (const auto& [address, named] : entries_) {
    if (now - named < kEntryMemory) {
      known.push_back(address);
    }
  }
  return known;
}

void dispatch_service::Changed() {
  if (std::exchange(turn_posted_, true)) {
    return;
  }
  loop_.AtEndOfTurn([this] {
    turn_posted_ = false;
    AdmitArrivals();
    board_->Place(BootTimeNow());
    sessions_->Flush();
  });
}

void dispatch_service::KeepRotation(instant now) {
  rotation_.Observe(backlog_.IsOver(now), now);
  if (rotation_.IsOut() != out_of_rotation_) {
    out_of_rotation_ = rotation_.IsOut();
    LogFact(log_level::kWarning, rotation_.IsOut() ? "rotation_left" : "rotation_joined");
  }
}

bool dispatch_service::ClosesConnection() {
  if (closing_) {
    return true;
  }
  constexpr unsigned kPerClose = entry_rotation::options{}.answers_per_close;
  return out_of_rotation_ && ++answers_out_ % kPerClose == 0;
}

void dispatch_service::Tick() {
  instant now = BootTimeNow();
  if (next_tick_ != instant{}) {
    load_monitor_.Ticked(now - next_tick_);
    backlog_.OnWorkTaken(now - next_tick_, now);
  }
  KeepRotation(now);
  load_monitor_.Tell(now, refused_busy_);
  known_entries_ = KnownEntries();
  for (session_id session : board_->UnresponsiveSessions(now)) {
    sessions_->Close(session);
  }
  board_->Tick(now);
  board_->Place(now);
  sessions_->Flush();
  targets_in_use_ = board_->targets_in_use(now);
  next_tick_ = BootTimeNow() + kTick;
  backlog_.OnTimerSet(next_tick_);
  loop_.After(kTick, [this] { Tick(); });
}

front_hooks dispatch_service::FrontHooks() {
  front_hooks hooks;
  hooks.stopping = [this] { return refusing_.load(); };
  hooks.busy = [this] {
    bool busy = backlog_.IsOver(BootTimeNow());
    refused_busy_ += busy ? 1 : 0;
    return busy;
  };
  hooks.await_plan = [this](duration deadline) { return AwaitPlan(deadline); };
  hooks.queue = [this](const std::string& host, const std::string& path, size_t& max_body_bytes) {
    return shared_plan_.Read([&](const operating_plan& plan) {
      max_body_bytes = plan.max_body_bytes;
      const queue_plan* queue = plan.QueueFor(host, path);
      return queue == nullptr ? std::nullopt : std::optional(*queue);
    });
  };
  hooks.submit = [this](front_request& request) { return Submit(request); };
  hooks.cancel = [this](front_request& request) { return Cancel(request); };
  hooks.state = [this](front_request& request) { return State(request); };
  return hooks;
}

bool dispatch_service::HasPlan() const {
  return shared_plan_.Read([](const operating_plan& plan) { return plan.version > 0; });
}

std::optional<duration> dispatch_service::AwaitPlan(duration deadline) {
  if (HasPlan()) {
    return duration::zero();
  }
  instant arrived = BootTimeNow();
  duration limit = FirstPlanDeadline({}, started_, arrived, deadline) - arrived;
  bool open = first_plan_.WaitFor(std::max(limit, duration::zero()));
  duration waited = BootTimeNow() - arrived;
  LogFact(log_level::kInfo, "waited_for_first_plan",
          {{"waited_ms", ToMilliseconds(waited)}, {"known", open}});
  return open ? std::optional(waited) : std::nullopt;
}

http_response dispatch_service::Submit(front_request& request) {
  auto wait = std::make_shared<pending_answer>();
  request_serial serial = next_serial_++;
  duration deadline = request.submission.deadline;
  instant arrived = BootTimeNow();
  // The first line of most jobs is `tasks_ordered`: one more takes a twentieth of a job's time.
  LogFact(log_level::kDebug, "job_arrived",
          {{"job", request.job},
           {"queue", request.queue.name},
           {"deadline_ms", ToMilliseconds(deadline)}});
  backlog_.OnWorkPosted(arrived);
  loop_.Post([this, arrival = arrival{.serial = serial,
                                      .arrived = arrived,
                                      .socket = request.http->socket,
                                      .submission = std::move(request.submission),
                                      .wait = wait}]() mutable {
    // Taken in turn, after the messages of agents that are there already.
    arrivals_.push_back(std::move(arrival));
    Changed();
  });
  std::optional<job_answer> answer = wait->Wait(request.http->socket, deadline + kAnswerGrace);
  if (!answer.has_value()) {
    loop_.Post([this, serial] {
      std::erase_if(arrivals_, [serial](const arrival& each) { return each.serial == serial; });
      waiting_.erase(serial);
      board_->CallerGone(serial);
      Changed();
    });
    answer = {.outcome = job_outcome::kAbandoned, .reason = "caller_gone"};
  }
  CountAnswer(request, *answer,
              {.arrived = arrived, .deadline = deadline, .queued = wait->queued()});
  return platform::WriteAnswer(*answer);
}

void dispatch_service::AdmitArrivals() {
  for (arrival& each : std::exchange(arrivals_, {})) {
    instant now = BootTimeNow();
    duration queued = now - each.arrived;
    backlog_.OnWorkTaken(queued, now);
    // After a freeze of this process a request may be older than its caller's patience, also one
    // that was read only now. Its caller sends the job again, perhaps to another entry: it must not
    // be started here as well.
    if (IsCallerGone(each.socket)) {
      each.wait->Answer({.outcome = job_outcome::kCancelled, .reason = "caller_gone_before"});
      continue;
    }
    load_monitor_.Admitted(queued);
    each.wait->Admitted(queued);
    waiting_[each.serial] = std::move(each.wait);
    each.submission.queued = queued;
    board_->Submit(each.serial, std::move(each.submission), now);
  }
}

void dispatch_service::CountAnswer(const front_request& request, const job_answer& answer,
                                   const request_times& times) {
  duration took = BootTimeNow() - times.arrived;
  LogFact(log_level::kInfo, "job_answered",
          {{"job", request.job},
           {"queue", request.queue.name},
           {"deadline_ms", ToMilliseconds(times.deadline)},
           {"outcome", NameOf(answer.outcome)},
           {"reason", answer.reason},
           {"retry_after_ms", ToMilliseconds(answer.retry_after)},
           {"queued_ms", ToMilliseconds(times.queued)},
           {"took_ms", ToMilliseconds(took)}});
  answers_
      ->Add({{"queue", request.queue.name},
             {"outcome", std::string(NameOf(answer.outcome))},
             {"reason", answer.reason}})
      .Increment();
  answer_seconds_->Add({{"queue", request.queue.name}}).Observe(ToSeconds(took));
}

http_response dispatch_service::Cancel(const front_request& request) {
  bool known = false;
  loop_.Run([&] {
    known = board_->Cancel(request.job);
    Changed();
  });
  LogFact(log_level::kInfo, "cancel_answered", {{"job", request.job}, {"known", known}});
  if (!known) {
    return platform::WriteRefusal(kGone, "no_such_job", duration::zero());
  }
  return platform::WriteAnswer({.outcome = job_outcome::kCancelled});
}

http_response dispatch_service::State(const front_request& request) {
  bool known = false;
  loop_.Run([&] { known = board_->HasJob(request.job); });
  if (!known) {
    return platform::WriteRefusal(kGone, "no_such_job", duration::zero());
  }
  return {.status = kOk,
          .headers = {{"content-type", "application/json"}},
          .body = R"({"state":"running"})"};
}

http_response dispatch_service::AnswerReady() const {
  bool ready = HasPlan() && targets_in_use_ > 0 && !leaving_ && !out_of_rotation_;
  return {.status = ready ? kOk : kUnavailable, .headers = {}, .body = "{}"};
}

void dispatch_service::Reload(const platform::node_settings& /*settings*/) {
  // Agents come to the entries: nothing here depends on what can change while a process lives.
}

void dispatch_service::Stop(duration limit) {
  instant begin = BootTimeNow();
  leaving_ = true;
  SleepUntil(begin + std::min(limit, kBalancerNotices));
  // From now on a caller that connects anew gets to another entry.
  closing_ = true;
  SleepUntil(begin + limit - kLastWork);
  refusing_ = true;
  size_t left = 1;
  while (left > 0 && BootTimeNow() < begin + limit) {
    SleepUntil(BootTimeNow() + kStopPoll);
    loop_.Run([this, &left] { left = board_->jobs(); });
  }
  // The last answers leave.
  SleepUntil(BootTimeNow() + kStopPoll);
}

}  // namespace wagtail::leased
