#include "services/dispatchd/dispatch_service.h"

#include <algorithm>
#include <array>
#include <limits>
#include <thread>
#include <utility>

#include "base/layer_error.h"
#include "base/try.h"
#include "logging/logging.h"
#include "metrics/process_metrics.h"
#include "platform/job_json.h"
#include "platform/node_services.h"
#include "scheduler/entry_drain.h"
#include "session/own_build.h"

namespace wagtail::leased {
namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr duration kTickInterval = std::chrono::milliseconds(20);
/// Long-poll timeout of the store for changes of the plan.
constexpr duration kPlanPollTimeout = std::chrono::milliseconds(1000);
/// An entry that no agent has reported for this long is no longer announced to agents.
constexpr duration kEntryExpiry = std::chrono::seconds(10);
/// How long the caller's thread waits for the answer after the job's deadline.
constexpr duration kAnswerGrace = std::chrono::seconds(2);
constexpr std::array kAnswerSecondsBounds = {0.01, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0};

constexpr duration kStopPollInterval = std::chrono::milliseconds(20);
/// At the end of a drain, how long connection threads may take to write the last answers.
constexpr duration kMaxAnswerTime = std::chrono::milliseconds(200);

std::string_view OutcomeName(job_outcome outcome) {
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
      listeners_(settings, metrics_),
      job_memory_({.total_bytes = listeners_.limits().job_memory_bytes,
                   .small_reserve_bytes = listeners_.limits().small_job_reserve_bytes},
                  metrics_),
      answers_(&metrics_.Counters("wagtail_entry_answers_total", "Answers to jobs.")),
      answer_seconds_(&metrics_.Histograms("wagtail_entry_answer_seconds",
                                           "Time from a job's arrival to its answer.",
                                           kAnswerSecondsBounds)),
      shared_plan_(std::make_unique<const operating_plan>()),
      filters_(MakeFrontFilters(FrontHooks())) {
  AddProcessMetrics(metrics_);
  AddBuildMetric(metrics_);
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
    scheduler_.reset();
  });
}

absl::Status dispatch_service::Start() {
  loop_.Run([this] {
    MakeScheduler();
    MakeSessions();
  });
  TRY(ListenForAgents());
  loop_.Run([this] {
    FollowStore();
    Tick();
  });
  using platform::http_listeners;
  ready_server_ = TRY(listeners_.Serve(
      {.name = "ready", .address = settings_.ready, .connections = http_listeners::use::kSide},
      [this](const http_request& /*request*/) { return AnswerReadiness(); }));
  front_server_ =
      TRY(listeners_.Serve({.name = "front",
                            .address = settings_.front,
                            .max_body_bytes = [this] { return MaxBodyBytes(); }},
                           [this](const http_request& request) { return AnswerCaller(request); }));
  if (!settings_.control.empty()) {
    // Targets announce themselves to the agent on their own VM, never to an entry.
    control_server_ = TRY(listeners_.Serve(
        {.name = "control",
         .address = settings_.control,
         .connections = http_listeners::use::kSide},
        [](const http_request& /*request*/) {
          return http_response{.status = kUnavailable, .headers = {}, .body = "{}"};
        }));
  }
  metrics_server_ = TRY(listeners_.ServeMetrics(settings_.ip));
  return absl::OkStatus();
}

http_response dispatch_service::AnswerCaller(const http_request& request) {
  ++requests_in_progress_;
  http_response response = RunFrontFilters(filters_, request);
  last_request_ = BootTimeNow();
  --requests_in_progress_;
  if (ShouldCloseConnection()) {
    response.headers["connection"] = "close";
  }
  return response;
}

absl::Status dispatch_service::ListenForAgents() {
  return connection_listener::Listen(
      loop_, settings_.SessionAddress(settings_.ip),
      [this](kj::Own<kj::AsyncIoStream> connection) { sessions_->Accept(kj::mv(connection)); },
      agent_listener_);
}

void dispatch_service::MakeScheduler() {
  scheduler_ = std::make_unique<job_scheduler>(
      job_scheduler_options{.targets = {.domain = settings_.domain}},
      [this](order_batch batch) {
        load_monitor_.OnOrdersSent();
        sessions_->Order(std::move(batch));
      },
      [this](session_id session, uint64_t order) { sessions_->Withdraw(session, order); },
      [this](request_serial serial, const job_answer& answer) {
        auto found = pending_answers_.find(serial);
        if (found != pending_answers_.end()) {
          found->second->SetAnswer(answer);
          pending_answers_.erase(found);
        }
      },
      [this](const job_log_event& note) {
        overload_metrics_.OnJobEvent(note);
        if (note.queue.empty()) {
          LogFact(log_level::kInfo, note.fact, {{"job", note.job}, {"detail", note.detail}});
        } else {
          LogFact(log_level::kInfo, note.fact,
                  {{"job", note.job}, {"queue", note.queue}, {"detail", note.detail}});
        }
      });
}

void dispatch_service::MakeSessions() {
  agent_sessions::hooks hooks;
  hooks.now = BootTimeNow;
  hooks.session_opened = [this](session_id session, const agent_identity& agent) {
    LogFact(log_level::kInfo, "agent_joined",
            {{"agent", agent.name},
             {"address", agent.address},
             {"session", session},
             {"build", agent.build.build},
             {"protocol", ProtocolText(agent.build.protocols)}});
    scheduler_->OnSessionOpened(session, agent, BootTimeNow());
  };
  hooks.report_received = [this](session_id session, const session_report& report) {
    load_monitor_.OnReport();
    scheduler_->OnReport(session, report, BootTimeNow());
  };
  hooks.task_crashed = [this](const task_crash& crash) {
    scheduler_->OnTaskCrashed(crash, BootTimeNow());
  };
  hooks.result = [this](const run_result& result) { scheduler_->OnResult(result); };
  hooks.session_closed = [this](session_id session) {
    LogFact(log_level::kWarning, "agent_lost", {{"session", session}});
    scheduler_->OnSessionClosed(session, BootTimeNow());
    ScheduleTurn();
  };
  hooks.after_message = [this] { ScheduleTurn(); };
  hooks.plan = [this]() -> const operating_plan& { return plan_.get(); };
  hooks.newer_plan = [this](operating_plan plan, const std::string& agent) {
    ApplyPlan(std::move(plan), agent);
  };
  hooks.waiting = [this](session_id session) { return scheduler_->WaitingPriority(session); };
  hooks.entries = [this]() -> const std::vector<std::string>& { return known_entries_; };
  hooks.entry_reported = [this](const std::string& entry) { OnEntryReported(entry); };
  sessions_ = std::make_unique<agent_sessions>(loop_, OwnBuild(), std::move(hooks));
}

void dispatch_service::FollowStore() {
  store_ = std::make_unique<platform::store_client>(loop_, settings_.store);
  plan_follower_ = platform::FollowPlan(
      loop_, *store_, kPlanPollTimeout,
      {.take = [this](operating_plan plan,
                      std::string_view source) { ApplyPlan(std::move(plan), source); },
       .answered = [this] { store_answered_ = BootTimeNow(); }});
  platform::RegisterEntry(loop_, *store_, settings_.SessionAddress(settings_.ip));
}

void dispatch_service::ApplyPlan(operating_plan plan, std::string_view source) {
  if (!plan_.Offer(std::move(plan))) {
    return;
  }
  const operating_plan& current = plan_.get();
  LogFact(log_level::kInfo, "plan_taken",
          {{"revision", current.revision},
           {"version", current.version},
           {"source", source},
           {"queues", current.queues.size()},
           {"leaving_domains", current.leaving_domains.size()}});
  shared_plan_.Publish(std::make_unique<const operating_plan>(current));
  if (current.version > 0) {
    first_plan_gate_.Open();
  }
  scheduler_->SetPlan(current);
  ScheduleTurn();
}

void dispatch_service::OnEntryReported(const std::string& entry) {
  if (entries_.insert_or_assign(entry, BootTimeNow()).second) {
    known_entries_ = KnownEntries();
  }
}

std::vector<std::string> dispatch_service::KnownEntries() const {
  std::vector<std::string> known;
  instant now = BootTimeNow();
  for (const auto& [address, last_reported] : entries_) {
    if (now - last_reported < kEntryExpiry) {
      known.push_back(address);
    }
  }
  return known;
}

void dispatch_service::ScheduleTurn() {
  if (std::exchange(turn_posted_, true)) {
    return;
  }
  loop_.AtEndOfTurn([this] {
    turn_posted_ = false;
    AdmitArrivals();
    scheduler_->Place(BootTimeNow());
    sessions_->Flush();
  });
}

void dispatch_service::UpdateRotation(instant now) {
  rotation_.Observe(backlog_.IsOver(now), now);
  if (rotation_.IsOut() != out_of_rotation_) {
    out_of_rotation_ = rotation_.IsOut();
    LogFact(log_level::kWarning, rotation_.IsOut() ? "rotation_left" : "rotation_joined");
  }
}

bool dispatch_service::ShouldCloseConnection() {
  if (closing_connections_) {
    return true;
  }
  constexpr unsigned kPerClose = entry_rotation::options{}.answers_per_close;
  return out_of_rotation_ && ++answers_out_of_rotation_ % kPerClose == 0;
}

void dispatch_service::Tick() {
  instant now = BootTimeNow();
  if (next_tick_ != instant{}) {
    load_monitor_.OnTick(now - next_tick_);
    backlog_.OnWorkTaken(now - next_tick_, now);
  }
  UpdateRotation(now);
  load_monitor_.LogUsage(now, {.refused_busy = refused_busy_,
                               .plan_copies = sessions_->plan_copies(),
                               .plan_version = plan_.get().version,
                               .store_answered = store_answered_});
  known_entries_ = KnownEntries();
  for (session_id session : scheduler_->UnresponsiveSessions(now)) {
    sessions_->Close(session);
  }
  scheduler_->Tick(now);
  scheduler_->Place(now);
  sessions_->Flush();
  targets_in_use_ = scheduler_->targets_in_use(now);
  next_tick_ = BootTimeNow() + kTickInterval;
  backlog_.OnTimerSet(next_tick_);
  loop_.After(kTickInterval, [this] { Tick(); });
}

front_hooks dispatch_service::FrontHooks() {
  front_hooks hooks;
  hooks.stopping = [this] { return refusing_jobs_.load(); };
  hooks.busy = [this] {
    bool busy = backlog_.IsOver(BootTimeNow());
    refused_busy_ += busy ? 1 : 0;
    return busy;
  };
  hooks.await_plan = [this](duration deadline) { return AwaitPlan(deadline); };
  hooks.queue = [this](const std::string& host, const std::string& path) {
    return shared_plan_.Read([&](const operating_plan& plan) {
      const queue_plan* queue = plan.QueueFor(host, path);
      return queue_match{.plan_version = plan.version,
                         .max_body_bytes = plan.max_body_bytes,
                         .queue = queue == nullptr ? std::nullopt : std::optional(*queue)};
    });
  };
  hooks.decode = [this](std::string_view body) { return DecodeJob(body); };
  hooks.submit = [this](front_request& request) { return Submit(request); };
  hooks.cancel = [this](front_request& request) { return Cancel(request); };
  hooks.state = [this](front_request& request) { return JobState(request); };
  return hooks;
}

absl::StatusOr<platform::job_body> dispatch_service::DecodeJob(std::string_view body) {
  absl::StatusOr<platform::job_body> job;
  // The reservation is made before the next job is decoded.
  auto read = [&]() -> absl::Status {
    job = platform::ReadJob(body);
    TRY(job.status());
    job->memory = TRY(job_memory_.Reserve(*job));
    return absl::OkStatus();
  };
  absl::Status reserved;
  TRY(listeners_.decoder().Run(body, [&] { reserved = read(); }));
  TRY(reserved);
  return job;
}

bool dispatch_service::HasPlan() const {
  return shared_plan_.Read([](const operating_plan& plan) { return plan.version > 0; });
}

size_t dispatch_service::MaxBodyBytes() const {
  return shared_plan_.Read([](const operating_plan& plan) {
    // Before the first plan the limit of the customer is not known; the queue's filter checks it.
    return plan.version > 0 ? plan.max_body_bytes : std::numeric_limits<size_t>::max();
  });
}

std::optional<duration> dispatch_service::AwaitPlan(duration deadline) {
  if (HasPlan()) {
    return duration::zero();
  }
  instant arrived = BootTimeNow();
  duration limit = FirstPlanDeadline({}, started_, arrived, deadline) - arrived;
  bool has_plan = first_plan_gate_.WaitFor(std::max(limit, duration::zero()));
  duration waited = BootTimeNow() - arrived;
  LogFact(log_level::kInfo, "waited_for_first_plan",
          {{"waited_ms", ToMilliseconds(waited)}, {"known", has_plan}});
  return has_plan ? std::optional(waited) : std::nullopt;
}

http_response dispatch_service::Submit(front_request& request) {
  auto pending = std::make_shared<pending_answer>();
  request_serial serial = next_serial_++;
  duration deadline = request.submission.deadline;
  instant arrived = BootTimeNow();
  // Debug level only: the first log line of most jobs is `tasks_ordered`, and one more line takes a
  // twentieth of a job's processing time.
  LogFact(log_level::kDebug, "job_arrived",
          {{"job", request.job},
           {"queue", request.queue.name},
           {"deadline_ms", ToMilliseconds(deadline)}});
  backlog_.OnWorkPosted(arrived);
  loop_.Post([this, arrival = arrival{.serial = serial,
                                      .arrived = arrived,
                                      .socket = request.http->socket,
                                      .submission = std::move(request.submission),
                                      .pending = pending}]() mutable {
    // Admitted at the end of the turn, after the messages of agents that have already arrived.
    arrivals_.push_back(std::move(arrival));
    ScheduleTurn();
  });
  std::optional<job_answer> answer = pending->Wait(request.http->socket, deadline + kAnswerGrace);
  if (!answer.has_value()) {
    loop_.Post([this, serial] {
      std::erase_if(arrivals_,
                    [serial](const arrival& waiting) { return waiting.serial == serial; });
      pending_answers_.erase(serial);
      scheduler_->CallerGone(serial);
      ScheduleTurn();
    });
    answer = {.outcome = job_outcome::kAbandoned, .reason = "caller_gone"};
  }
  RecordAnswer(request, *answer,
               {.arrived = arrived, .deadline = deadline, .queued = pending->queued()});
  return platform::WriteAnswer(*answer);
}

void dispatch_service::AdmitArrivals() {
  for (arrival& admitted : std::exchange(arrivals_, {})) {
    instant now = BootTimeNow();
    duration queued = now - admitted.arrived;
    backlog_.OnWorkTaken(queued, now);
    // After this process was frozen, a request may be older than its caller's timeout, even one
    // that was read only now. The caller sends the job again, possibly to another entry, so it must
    // not be started here as well.
    if (IsCallerGone(admitted.socket)) {
      admitted.pending->SetAnswer(
          {.outcome = job_outcome::kAbandoned, .reason = "caller_gone_before"});
      continue;
    }
    load_monitor_.OnJobAdmitted(queued);
    admitted.pending->OnAdmitted(queued);
    pending_answers_[admitted.serial] = std::move(admitted.pending);
    admitted.submission.queued = queued;
    scheduler_->Submit(admitted.serial, std::move(admitted.submission), now);
  }
}

void dispatch_service::RecordAnswer(const front_request& request, const job_answer& answer,
                                    const request_times& times) {
  duration took = BootTimeNow() - times.arrived;
  LogFact(log_level::kInfo, "job_answered",
          {{"job", request.job},
           {"queue", request.queue.name},
           {"plan", request.plan_version},
           {"deadline_ms", ToMilliseconds(times.deadline)},
           {"outcome", OutcomeName(answer.outcome)},
           {"reason", answer.reason},
           {"retry_after_ms", ToMilliseconds(answer.retry_after)},
           {"queued_ms", ToMilliseconds(times.queued)},
           {"took_ms", ToMilliseconds(took)}});
  answers_
      ->Add({{"queue", request.queue.name},
             {"outcome", std::string(OutcomeName(answer.outcome))},
             {"reason", answer.reason}})
      .Increment();
  answer_seconds_->Add({{"queue", request.queue.name}}).Observe(ToSeconds(took));
}

http_response dispatch_service::Cancel(const front_request& request) {
  bool known = false;
  loop_.Run([&] {
    known = scheduler_->Cancel(request.job);
    ScheduleTurn();
  });
  LogFact(log_level::kInfo, "cancel_answered", {{"job", request.job}, {"known", known}});
  if (!known) {
    return platform::WriteRefusal(kGone, "no_such_job", duration::zero());
  }
  return platform::WriteAnswer({.outcome = job_outcome::kCancelled});
}

http_response dispatch_service::JobState(const front_request& request) {
  bool known = false;
  loop_.Run([&] { known = scheduler_->HasJob(request.job); });
  if (!known) {
    return platform::WriteRefusal(kGone, "no_such_job", duration::zero());
  }
  return {.status = kOk,
          .headers = {{"content-type", "application/json"}},
          .body = R"({"state":"running"})"};
}

http_response dispatch_service::AnswerReadiness() const {
  bool ready = HasPlan() && targets_in_use_ > 0 && !draining_ && !out_of_rotation_;
  return {.status = ready ? kOk : kUnavailable, .headers = {}, .body = "{}"};
}

void dispatch_service::Reload(const platform::node_settings& /*settings*/) {
  // Agents connect to entries: nothing here depends on settings that can change at run time.
}

void dispatch_service::Stop(duration limit) {
  entry_drain drain({}, BootTimeNow(), limit);
  draining_ = true;
  loop_.Run([this, &drain] {
    scheduler_->DrainUntil(drain.end());
    sessions_->AnnounceDraining();
  });
  while (!drain.IsOver(BootTimeNow(), last_request_, requests_in_progress_)) {
    std::optional<duration> idle_age = drain.IdleAgeToClose(BootTimeNow());
    if (idle_age.has_value()) {
      closing_connections_ = true;
      front_server_->CloseIdleConnections(*idle_age);
    }
    std::this_thread::sleep_for(kStopPollInterval);
  }
  refusing_jobs_ = true;
  loop_.Run([this] {
    // Requests that passed the check of refusing_jobs_ before are refused on admission.
    scheduler_->DrainUntil(BootTimeNow());
    AdmitArrivals();
    scheduler_->AbandonAll("stopping");
  });
  instant answers_due = BootTimeNow() + kMaxAnswerTime;
  while (requests_in_progress_ > 0 && BootTimeNow() < answers_due) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
  // Give the connection threads time to send the last answers.
  std::this_thread::sleep_for(kStopPollInterval);
}

}  // namespace wagtail::leased
