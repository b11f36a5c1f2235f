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
#include "scheduler/entry_drain.h"
#include "session/own_build.h"

namespace wagtail::leased {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr duration kTickInterval = std::chrono::milliseconds(20);
/// Long-poll timeout of the store for changes of the plan.
constexpr duration kPlanPollTimeout = std::chrono::milliseconds(1000);
/// An entry that no agent has reported for this long is no longer announced to agents.
constexpr duration kEntryExpiry = std::chrono::seconds(10);
constexpr std::array kAnswerSecondsBounds = {0.01, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0};

constexpr duration kStopPollInterval = std::chrono::milliseconds(20);
/// At the end of a drain, how long connection threads may take to write the last answers.
constexpr duration kMaxAnswerTime = std::chrono::milliseconds(200);

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
