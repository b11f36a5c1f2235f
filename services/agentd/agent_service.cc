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

namespace wagtail::leased {
namespace {

constexpr duration kTick = std::chrono::milliseconds(25);
/// Results that come this close together leave in one message.
constexpr duration kGather = std::chrono::milliseconds(3);
/// How long the store may hold a request for changes of the plan.
constexpr duration kPlanWait = std::chrono::milliseconds(2000);
/// How long the store may hold a request for changes of the entries' addresses.
constexpr duration kFleetWait = std::chrono::milliseconds(10000);
constexpr std::array kRunSecondsBounds = {0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2};

std::string_view NameOf(run_outcome outcome) {
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

/// A fence that is higher than those of earlier agents of this VM.
uint64_t FirstFence() {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

}  // namespace

agent_service::agent_service(const platform::node_settings& settings)
    : settings_(settings),
      results_(&metrics_.Counters("wagtail_agent_results_total", "Final words on orders.")),
      run_seconds_(&metrics_.Histograms("wagtail_agent_run_seconds",
                                        "Durations of runs that were done.", kRunSecondsBounds)) {
  AddProcessMetrics(metrics_);
}

agent_service::~agent_service() {
  control_server_.reset();
  metrics_server_.reset();
  loop_.Stop([this] {
    links_.reset();
    plan_follower_.reset();
    fleet_follower_.reset();
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
  control_server_ = TRY(platform::ServeAt(
      settings_.control, [this](const http_request& request) { return AnswerControl(request); }));
  metrics_server_ = TRY(platform::ServeMetrics(settings_.ip, metrics_));
  return absl::OkStatus();
}

void agent_service::MakeController() {
  calls_ = std::make_unique<platform::target_calls>(
      loop_, platform::target_calls::hooks{
                 .start_answered =
                     [this](uint64_t serial, const platform::start_verdict& verdict) {
                       controller_->OnStartAnswered(serial, verdict.answer, verdict.clock_ms,
                                                    BootTimeNow());
                       Changed();
                     },
                 .renew_answered =
                     [this](uint64_t serial, const target_report& report) {
                       controller_->OnRenewAnswered(serial, report, BootTimeNow());
                     },
                 .renew_failed =
                     [this](uint64_t serial, renew_failure failure) {
                       controller_->OnRenewFailed(serial, failure, BootTimeNow());
                       Changed();
                     }});
  controller_ = std::make_unique<run_controller>(
      run_controller_options{.max_lease = settings_.max_lease, .fence = FirstFence()},
      [this](const target_call& call) { calls_->Execute(call); },
      [this](const run_result& result) { TakeResult(result); },
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
  hooks.opened = [this](session_id session, instant sent) {
    controller_->OnSessionOpened(session, sent);
  };
  hooks.vouched = [this](session_id session, instant sent) {
    controller_->OnReportAnswered(session, sent);
  };
  hooks.closed = [this](session_id session) {
    controller_->OnSessionClosed(session, BootTimeNow());
  };
  hooks.order = [this](run_order order) { controller_->Order(std::move(order), BootTimeNow()); };
  hooks.withdraw = [this](session_id session, uint64_t order) {
    controller_->Withdraw(session, order, BootTimeNow());
  };
  hooks.after_message = [this] { Changed(); };
  hooks.load = [this] { return controller_->Load(); };
  hooks.busy = [this](session_id session) { return controller_->IsBusy(session); };
  hooks.settled = [this] { return controller_->Settled(); };
  hooks.plan = [this]() -> const operating_plan& { return plan_.get(); };
  hooks.newer_plan = [this](operating_plan plan) { TakePlan(std::move(plan)); };
  agent_identity self{.name = settings_.name,
                      .address = settings_.SessionAddress(settings_.ip),
                      .domain = settings_.domain};
  links_ = std::make_unique<entry_links>(loop_, self, entry_links_options{}, std::move(hooks));
  for (const std::string& seed : settings_.seed_ips) {
    links_->Know(settings_.SessionAddress(seed));
  }
}

void agent_service::FollowStore() {
  store_ = std::make_unique<platform::store_client>(loop_, settings_.store);
  plan_follower_ = platform::FollowPlan(loop_, *store_, kPlanWait,
                                        [this](operating_plan plan) { TakePlan(std::move(plan)); });
  fleet_follower_ = platform::FollowEntries(
      loop_, *store_, kFleetWait, [this](const std::string& address) { links_->Know(address); });
}

void agent_service::TakePlan(operating_plan plan) {
  if (!plan_.Offer(std::move(plan))) {
    return;
  }
  const operating_plan& taken = plan_.get();
  LogFact(log_level::kInfo, "plan_taken",
          {{"revision", taken.revision},
           {"version", taken.version},
           {"leaving_domains", taken.leaving_domains.size()}});
  controller_->SetPlan(taken, BootTimeNow());
  Changed();
}

void agent_service::TakeResult(const run_result& result) {
  LogFact(log_level::kInfo, "run_ended",
          {{"job", result.task.job},
           {"task", platform::TaskName(result.task)},
           {"run", result.run},
           {"outcome", NameOf(result.outcome)},
           {"reason", result.reason},
           {"waited_ms", ToMilliseconds(result.waited)},
           {"ran_ms", ToMilliseconds(result.ran)}});
  results_->Add({{"outcome", std::string(NameOf(result.outcome))}, {"reason", result.reason}})
      .Increment();
  if (result.outcome == run_outcome::kDone) {
    run_seconds_->Add({}).Observe(ToSeconds(result.ran));
  }
  links_->Result(result);
  Changed();
}

void agent_service::Changed() {
  if (std::exchange(flush_posted_, true)) {
    return;
  }
  loop_.After(kGather, [this] {
    flush_posted_ = false;
    links_->Flush();
  });
}

void agent_service::Tick() {
  controller_->Tick(BootTimeNow());
  links_->Flush();
  loop_.After(kTick, [this] { Tick(); });
}

void agent_service::TakeAnnouncement(const target_announcement& heard) {
  bool news = !announced_.has_value() || announced_->id != heard.id ||
              announced_->start_time_ms != heard.start_time_ms ||
              announced_->draining != heard.draining;
  controller_->OnTargetAnnounced(heard, BootTimeNow());
  if (news) {
    LogFact(log_level::kInfo, "target_announced",
            {{"target", heard.id},
             {"born", heard.start_time_ms},
             {"service", heard.service},
             {"draining", heard.draining},
             {"cpu", heard.capacity.cpu}});
    announced_ = heard;
    platform::SaveTarget(*store_, settings_.SessionAddress(settings_.ip), heard);
  }
  Changed();
}

void agent_service::LoadTarget() {
  platform::LoadTarget(*store_, settings_.SessionAddress(settings_.ip),
                       [this](const target_announcement& known) {
                         if (announced_.has_value()) {
                           return;
                         }
                         LogFact(log_level::kInfo, "target_recalled",
                                 {{"target", known.id}, {"born", known.start_time_ms}});
                         announced_ = known;
                         controller_->OnTargetAnnounced(known, BootTimeNow());
                       });
}

http_response agent_service::AnswerControl(const http_request& request) {
  absl::StatusOr<platform::control_request> read = platform::ReadControlRequest(request);
  if (!read.ok()) {
    LogFact(log_level::kWarning, "announcement_refused", {{"error", MessageOf(read.status())}});
    return platform::RefuseControlRequest();
  }
  loop_.Post([this, said = *std::move(read)] {
    if (said.announcement.has_value()) {
      TakeAnnouncement(*said.announcement);
      return;
    }
    LogFact(log_level::kInfo, "target_departed", {{"target", said.target}});
    controller_->OnTargetDeparted(said.target, BootTimeNow());
    Changed();
  });
  return platform::AcknowledgeControlRequest();
}

void agent_service::Reload(const platform::node_settings& settings) {
  loop_.Post([this, settings] {
    for (const std::string& seed : settings.seed_ips) {
      links_->Know(settings.SessionAddress(seed));
    }
  });
}

void agent_service::Stop(duration limit) {
  constexpr auto kPoll = std::chrono::milliseconds(20);
  instant end = BootTimeNow() + limit;
  loop_.Run([this] {
    controller_->Drain(BootTimeNow());
    Changed();
  });
  size_t left = 1;
  while (left > 0 && BootTimeNow() < end) {
    std::this_thread::sleep_for(kPoll);
    loop_.Run([this, &left] { left = controller_->size(); });
  }
  // The last results leave with the next turn.
  std::this_thread::sleep_for(kPoll);
}

}  // namespace wagtail::leased
