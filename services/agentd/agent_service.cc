#include "services/agentd/agent_service.h"

#include <array>
#include <charconv>
#include <chrono>
#include <thread>
#include <utility>

#include "base/layer_error.h"
#include "base/try.h"
#include "logging/logging.h"
#include "metrics/process_metrics.h"
#include "platform/control_request.h"
#include "platform/node_services.h"
#include "platform/plan_json.h"
#include "platform/task_name.h"
#include "session/own_build.h"

namespace wagtail::leased {
namespace {

constexpr duration kTickInterval = std::chrono::milliseconds(25);
/// Delay before a flush, so that results close together are sent in one message.
constexpr duration kFlushDelay = std::chrono::milliseconds(3);
/// Long-poll timeout of the store for changes of the plan.
constexpr duration kPlanPollTimeout = std::chrono::milliseconds(2000);
/// Long-poll timeout of the store for changes of the entries' addresses.
constexpr duration kEntriesPollTimeout = std::chrono::milliseconds(10000);
constexpr std::array kRunSecondsBounds = {0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2};

std::string_view OutcomeName(run_outcome outcome) {
  switch (outcome) {
    case run_outcome::kDone:
      return "done";
    case run_outcome::kFailed:
      return "failed";
    case run_outcome::kStopped:
      return "stopped";
    case run_outcome::kLost:
      return "lost";
    case run_outcome::kVoided:
      return "voided";
    case run_outcome::kNotStarted:
      return "not_started";
  }
  return "unknown";
}

std::string_view RoleName(crash_role role) {
  switch (role) {
    case crash_role::kNone:
      return "none";
    case crash_role::kBystander:
      return "bystander";
    case crash_role::kSuspect:
      return "suspect";
  }
  return "unknown";
}

/// @return a fence higher than those of earlier agents on this VM
uint64_t FirstFence() {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

}  // namespace

agent_service::agent_service(const platform::node_settings& settings)
    : settings_(settings),
      listeners_(settings, metrics_),
      results_(&metrics_.Counters("wagtail_agent_results_total", "Final results of orders.")),
      run_seconds_(&metrics_.Histograms("wagtail_agent_run_seconds",
                                        "Durations of runs that were done.", kRunSecondsBounds)) {
  AddProcessMetrics(metrics_);
  AddBuildMetric(metrics_);
}

agent_service::~agent_service() {
  control_server_.reset();
  metrics_server_.reset();
  loop_.Stop([this] {
    links_.reset();
    plan_follower_.reset();
    entries_follower_.reset();
    store_.reset();
    calls_.reset();
    controller_.reset();
  });
}

absl::Status agent_service::Start() {
  loop_.Run([this] {
    MakeController();
    MakeLinks();
    FollowStore();
    LoadTarget();
    Tick();
  });
  control_server_ =
      TRY(listeners_.Serve({.name = "control", .address = settings_.control},
                           [this](const http_request& request) { return AnswerControl(request); }));
  metrics_server_ = TRY(listeners_.ServeMetrics(settings_.ip));
  return absl::OkStatus();
}

void agent_service::MakeController() {
  calls_ = std::make_unique<platform::target_calls>(
      loop_, platform::target_calls::hooks{
                 .start_answered =
                     [this](uint64_t serial, const platform::start_verdict& verdict) {
                       controller_->OnStartAnswered(serial, verdict.answer, verdict.clock_ms,
                                                    BootTimeNow());
                       ScheduleFlush();
                     },
                 .renew_answered =
                     [this](uint64_t serial, const target_report& report) {
                       controller_->OnRenewAnswered(serial, report, BootTimeNow());
                       NoteTarget();
                     },
                 .renew_failed =
                     [this](uint64_t serial, renew_failure failure) {
                       controller_->OnRenewFailed(serial, failure, BootTimeNow());
                       ScheduleFlush();
                     }});
  controller_ = std::make_unique<run_controller>(
      run_controller_options{.max_lease = settings_.max_lease, .fence = FirstFence()},
      [this](const target_call& call) { calls_->Execute(call); },
      [this](const run_result& result) { OnResult(result); },
      [](const run_log_event& note) {
        LogFact(log_level::kInfo, note.fact,
                {{"job", note.task.job},
                 {"task", platform::TaskName(note.task)},
                 {"run", note.run},
                 {"detail", note.detail}});
      });
}

void agent_service::MakeLinks() {
  entry_links::hooks hooks;
  hooks.now = BootTimeNow;
  hooks.session_opened = [this](session_id session, instant sent) {
    controller_->OnSessionOpened(session, sent);
  };
  hooks.session_lease_renewed = [this](session_id session, instant sent) {
    controller_->OnReportAnswered(session, sent);
  };
  hooks.session_closed = [this](session_id session) {
    controller_->OnSessionClosed(session, BootTimeNow());
  };
  hooks.order = [this](run_order order) { controller_->Order(std::move(order), BootTimeNow()); };
  hooks.withdraw = [this](session_id session, uint64_t order) {
    controller_->Withdraw(session, order, BootTimeNow());
  };
  hooks.after_message = [this] { ScheduleFlush(); };
  hooks.load = [this] { return controller_->Load(); };
  hooks.busy = [this](session_id session) { return controller_->IsBusy(session); };
  hooks.settled = [this] { return controller_->Settled(); };
  hooks.plan = [this]() -> const operating_plan& { return plan_.get(); };
  hooks.newer_plan = [this](operating_plan plan, const std::string& entry) {
    ApplyPlan(std::move(plan), entry);
  };
  agent_identity self{.name = settings_.name,
                      .address = settings_.SessionAddress(settings_.ip),
                      .domain = settings_.domain,
                      .build = OwnBuild()};
  links_ = std::make_unique<entry_links>(loop_, self, entry_links_options{}, std::move(hooks));
  for (const std::string& seed : settings_.seed_ips) {
    links_->AddEntry(settings_.SessionAddress(seed));
  }
}

void agent_service::FollowStore() {
  store_ = std::make_unique<platform::store_client>(loop_, settings_.store);
  plan_follower_ =
      platform::FollowPlan(loop_, *store_, kPlanPollTimeout,
                           {.take = [this](operating_plan plan, std::string_view source) {
                             ApplyPlan(std::move(plan), source);
                           }});
  entries_follower_ =
      platform::FollowEntries(loop_, *store_, kEntriesPollTimeout,
                              [this](const std::string& address) { links_->AddEntry(address); });
}

void agent_service::ApplyPlan(operating_plan plan, std::string_view source) {
  if (!plan_.Offer(std::move(plan))) {
    return;
  }
  const operating_plan& current = plan_.get();
  LogFact(log_level::kInfo, "plan_taken",
          {{"revision", current.revision},
           {"version", current.version},
           {"source", source},
           {"copies_sent", links_->plan_copies()},
           {"leaving_domains", current.leaving_domains.size()}});
  controller_->SetPlan(current, BootTimeNow());
  ScheduleFlush();
}

void agent_service::OnResult(const run_result& result) {
  LogFact(log_level::kInfo, "run_ended",
          {{"job", result.task.job},
           {"task", platform::TaskName(result.task)},
           {"run", result.run},
           {"outcome", OutcomeName(result.outcome)},
           {"reason", result.reason},
           {"crash", RoleName(result.crash)},
           {"waited_ms", ToMilliseconds(result.waited)},
           {"ran_ms", ToMilliseconds(result.ran)}});
  results_->Add({{"outcome", std::string(OutcomeName(result.outcome))}, {"reason", result.reason}})
      .Increment();
  if (result.outcome == run_outcome::kDone) {
    run_seconds_->Add({}).Observe(ToSeconds(result.ran));
  }
  if (result.crash != crash_role::kNone) {
    links_->AddCrash({.task = result.task, .suspected = result.crash == crash_role::kSuspect});
  }
  links_->AddResult(result);
  ScheduleFlush();
}

void agent_service::ScheduleFlush() {
  if (std::exchange(flush_posted_, true)) {
    return;
  }
  loop_.After(kFlushDelay, [this] {
    flush_posted_ = false;
    links_->Flush();
  });
}

void agent_service::Tick() {
  controller_->Tick(BootTimeNow());
  links_->Flush();
  loop_.After(kTickInterval, [this] { Tick(); });
}

void agent_service::OnAnnouncement(const target_announcement& announcement) {
  controller_->OnTargetAnnounced(announcement, BootTimeNow());
  if (!controller_->IsInUse(announcement)) {
    LogFact(log_level::kInfo, "target_not_in_use",
            {{"target", announcement.id},
             {"born", announcement.start_time_ms},
             {"service", announcement.service},
             {"address", announcement.address}});
  }
  NoteTarget();
}

void agent_service::OnDeparture(const target_departure& departure) {
  LogFact(log_level::kInfo, "target_departed",
          {{"target", departure.id}, {"born", departure.start_time_ms.value_or(0)}});
  controller_->OnTargetDeparted(departure, BootTimeNow());
}

void agent_service::NoteTarget() {
  const target_announcement* current = controller_->Announced();
  if (current == nullptr || current->is_remembered) {
    return;
  }
  bool is_new = !noted_target_.has_value() || !IsSameIncarnation(*noted_target_, *current) ||
                noted_target_->draining != current->draining ||
                noted_target_->capacity != current->capacity;
  if (!is_new) {
    return;
  }
  LogFact(log_level::kInfo, "target_announced",
          {{"target", current->id},
           {"born", current->start_time_ms},
           {"service", current->service},
           {"draining", current->draining},
           {"cpu", current->capacity.cpu}});
  noted_target_ = *current;
  platform::SaveTarget(*store_, settings_.SessionAddress(settings_.ip), *current);
}

void agent_service::LoadTarget() {
  platform::LoadTarget(*store_, settings_.SessionAddress(settings_.ip),
                       [this](const target_announcement& remembered) {
                         if (noted_target_.has_value()) {
                           return;
                         }
                         LogFact(log_level::kInfo, "target_recalled",
                                 {{"target", remembered.id}, {"born", remembered.start_time_ms}});
                         noted_target_ = remembered;
                         controller_->OnTargetAnnounced(remembered, BootTimeNow());
                       });
}

http_response agent_service::AnswerControl(const http_request& request) {
  absl::StatusOr<platform::control_request> read;
  absl::Status decoded =
      listeners_.decoder().Run(request.body, [&] { read = platform::ReadControlRequest(request); });
  if (!decoded.ok()) {
    read = decoded;
  }
  if (!read.ok()) {
    LogFact(log_level::kWarning, "announcement_refused", {{"error", MessageOf(read.status())}});
    return platform::RefuseControlRequest();
  }
  loop_.Post([this, control = *std::move(read)] {
    if (const auto* announcement = std::get_if<target_announcement>(&control)) {
      OnAnnouncement(*announcement);
    } else {
      OnDeparture(std::get<target_departure>(control));
    }
    ScheduleFlush();
  });
  return platform::AcknowledgeControlRequest();
}

void agent_service::Reload(const platform::node_settings& settings) {
  loop_.Post([this, settings] {
    for (const std::string& seed : settings.seed_ips) {
      links_->AddEntry(settings.SessionAddress(seed));
    }
  });
}

void agent_service::Stop(duration limit) {
  constexpr auto kPollInterval = std::chrono::milliseconds(20);
  instant end = BootTimeNow() + limit;
  loop_.Run([this] {
    controller_->Drain(BootTimeNow());
    ScheduleFlush();
  });
  size_t remaining = 1;
  while (remaining > 0 && BootTimeNow() < end) {
    std::this_thread::sleep_for(kPollInterval);
    loop_.Run([this, &remaining] { remaining = controller_->size(); });
  }
  // The last results are sent in the loop's next turn.
  std::this_thread::sleep_for(kPollInterval);
}

}  // namespace wagtail::leased
