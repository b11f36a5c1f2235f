#include "tests/load/load_simulation.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>

namespace wagtail::leased {
namespace {

constexpr duration kEntryTick = std::chrono::milliseconds(20);
constexpr duration kAgentTick = std::chrono::milliseconds(25);
constexpr duration kResultBatchDelay = std::chrono::milliseconds(3);
constexpr duration kNetworkDelay = std::chrono::milliseconds(1);
constexpr duration kTargetCallDelay = std::chrono::microseconds(300);
constexpr duration kAnnouncementInterval = std::chrono::milliseconds(1500);
constexpr duration kMaxReportInterval = std::chrono::milliseconds(120);
constexpr duration kMinReportInterval = std::chrono::milliseconds(40);
constexpr double kReportedLoadChange = 0.15;
constexpr double kStretch = 1.6;
constexpr duration kAllowance = std::chrono::milliseconds(60);
constexpr double kLateObjectiveFactor = 3;
constexpr double kLargeFactor = 1.5;
constexpr uint32_t kWideFactor = 2;
constexpr const char* kWide = " (wide)";
constexpr const char* kBusy = "busy";
/// From the start of a deadly task to the crash, and from the crash until the target is back.
constexpr duration kCrashDelay = std::chrono::milliseconds(10);
constexpr duration kCrashedTime = std::chrono::milliseconds(3300);
constexpr const char* kDeadly = " (deadly)";
/// Run time of a task on a stalled target: longer than the timeout of any caller.
constexpr duration kStalledRunTime = std::chrono::seconds(20);

double Uniform(std::mt19937_64& random, double min, double max) {
  return std::uniform_real_distribution<double>(min, max)(random);
}

}  // namespace

load_result& load_result::operator+=(const load_result& other) {
  submitted += other.submitted;
  in_time += other.in_time;
  late += other.late;
  refused += other.refused;
  lost += other.lost;
  failed += other.failed;
  served += other.served;
  return *this;
}

double load_result::InTimeShare() const {
  return submitted == 0 ? 1 : static_cast<double>(in_time) / submitted;
}

double load_result::ServedShare() const {
  return submitted == 0 ? 1 : static_cast<double>(served) / submitted;
}

load_result load_simulation::totals::Sum() const {
  load_result sum;
  for (const auto& [name, result] : kinds) {
    sum += name.ends_with(kWide) ? load_result{} : result;  // those are counted already
  }
  return sum;
}

struct load_simulation::simulated_entry {
  explicit simulated_entry(const entry_rotation::options& options) : rotation(options) {}

  std::unique_ptr<job_scheduler> scheduler;
  std::vector<order_batch> orders;
  std::vector<std::pair<session_id, uint64_t>> withdrawn;
  request_serial next_serial = 1;
  std::map<request_serial, caller*> callers;
  loop_backlog backlog{{}};
  entry_rotation rotation;
  unsigned answers_out = 0;     ///< answers sent while out of the rotation
  std::optional<double> share;  ///< share of a core; empty if processor time is not simulated
  instant idle_from{};          ///< when its processor has completed all queued work
  unsigned number = 0;
};

struct load_simulation::simulated_agent {
  unsigned number = 0;
  double slowness = 1;
  std::unique_ptr<run_controller> controller;
  std::unique_ptr<fake_leased_target> target;
  std::vector<session*> sessions;
  std::optional<freed_capacity> freed;
  bool results_due = false;
};

struct load_simulation::session {
  session_id id = 0;
  simulated_entry* entry = nullptr;
  simulated_agent* agent = nullptr;
  uint64_t orders_seen = 0;
  std::vector<task_crash> crashes;
  std::vector<run_result> results;
  target_status reported_load;
  instant last_report{};
  int64_t held = 0;  ///< part of the free CPU that the last report held back
};

struct load_simulation::caller {
  const load_kind* kind = nullptr;
  const simulated_entry* entry = nullptr;
  instant submitted;
  duration task_time{0};
  double work_done = 0;  ///< core-seconds
  bool is_deadly = false;
  bool is_wide = false;
  bool has_started = false;  ///< a target has started one of its tasks
  bool is_refused = false;
  std::optional<size_t> connection{};
  bool answered = false;
};

load_simulation::load_simulation(settings settings)
    : settings_(std::move(settings)),
      arrivals_(settings_.seed),
      random_(settings_.seed + 1),
      begin_(time_.now()) {
  totals_.entries.resize(settings_.entries);
  totals_.seconds.resize(static_cast<size_t>(ToSeconds(settings_.length)) + 1);
  for (unsigned number = 0; number < settings_.entries; ++number) {
    entries_.push_back(std::make_unique<simulated_entry>(settings_.rotation));
    entries_.back()->number = number;
    entries_.back()->share =
        number < settings_.small_entries ? settings_.small_entry_share : std::nullopt;
    StartEntry(*entries_.back());
  }
  for (unsigned number = 0; number < settings_.connections; ++number) {
    connections_.push_back(entries_[number % settings_.small_entries].get());
  }
  for (unsigned number = 0; number < settings_.targets; ++number) {
    agents_.push_back(std::make_unique<simulated_agent>());
    StartAgent(*agents_.back(), number);
  }
}

load_simulation::~load_simulation() = default;

const load_simulation::totals& load_simulation::Run() {
  constexpr duration kWarmUp = std::chrono::seconds(2);
  time_.RunUntil(begin_ + kWarmUp);
  begin_ = time_.now();
  for (const load_kind& kind : settings_.kinds) {
    ScheduleNext(kind);
  }
  time_.RunUntil(begin_ + settings_.length + 2 * settings_.caller_timeout);
  for (const auto& [id, who] : callers_) {
    if (!who->answered) {
      Count(*who, {.submitted = 1, .lost = 1});
    }
  }
  return totals_;
}

duration load_simulation::Elapsed() const { return time_.now() - begin_; }

void load_simulation::StartEntry(simulated_entry& entry) {
  entry.scheduler = std::make_unique<job_scheduler>(
      settings_.scheduler,
      [&entry](order_batch batch) { entry.orders.push_back(std::move(batch)); },
      [&entry](session_id session, uint64_t order) {
        entry.withdrawn.emplace_back(session, order);
      },
      [this, &entry](request_serial serial, const job_answer& answer) {
        Spend(entry, settings_.costs.answer);
        Answer(entry, serial, answer);
      },
      [](const job_log_event& /*note*/) {});
  entry.scheduler->SetPlan(Plan());
  TickEntry(entry);
}

operating_plan load_simulation::Plan() const {
  operating_plan plan;
  std::ranges::transform(
      settings_.kinds, std::back_inserter(plan.queues), [](const load_kind& kind) {
        return queue_plan{.name = kind.name, .service = "lights", .priority = kind.priority};
      });
  return plan;
}

void load_simulation::Answer(simulated_entry& entry, request_serial serial,
                             const job_answer& answer) {
  auto found = entry.callers.find(serial);
  caller* who = found->second;
  entry.callers.erase(found);
  totals_.refused_with_free +=
      answer.outcome == job_outcome::kRefused && HasFreeTargets(*who) ? 1 : 0;
  bool closes_connection =
      entry.rotation.IsOut() && ++entry.answers_out % settings_.rotation.answers_per_close == 0;
  if (closes_connection || answer.reason == kBusy) {
    CloseConnection(*who);
  }
  time_.At(entry.idle_from, [this, who, answer] { OnAnswer(*who, answer); });
}

bool load_simulation::HasFreeTargets(const caller& who) const {
  int64_t tasks = 0;
  double reserved = who.kind->priority > 0 ? settings_.scheduler.reserved_share : 0;
  for (const auto& [id, each] : sessions_) {
    if (each->entry == who.entry) {
      target_status load = each->agent->controller->Load();
      auto kept = static_cast<int64_t>(reserved * static_cast<double>(load.capacity.cpu));
      tasks += std::max<int64_t>(load.free.cpu - kept, 0) / who.kind->cpu;
    }
  }
  int64_t needed = who.kind->tasks;
  return tasks >= needed * (who.is_wide ? kWideFactor : 1);
}

void load_simulation::TickEntry(simulated_entry& entry) {
  OnProcessor(entry, duration::zero(), [this, &entry, due = time_.now()] {
    entry.backlog.OnWorkTaken(time_.now() - due, time_.now());
    entry.backlog.OnTimerSet(time_.now() + kEntryTick);
    entry.rotation.Observe(entry.backlog.IsOver(time_.now()), time_.now());
    entry.scheduler->Tick(time_.now());
    Place(entry);
    time_.After(kEntryTick, [this, &entry] { TickEntry(entry); });
  });
}

instant load_simulation::Spend(simulated_entry& entry, duration cost) {
  if (!entry.share.has_value()) {
    return time_.now();
  }
  duration spent = Scaled(cost, 1 / *entry.share);
  entry.idle_from = std::max(entry.idle_from, time_.now()) + spent;
  bool counts = time_.now() >= begin_ && Elapsed() < settings_.length;
  totals_.processor_used += counts ? spent : duration::zero();
  return entry.idle_from;
}

void load_simulation::OnProcessor(simulated_entry& entry, duration cost,
                                  std::function<void()> work) {
  instant done = Spend(entry, cost);
  if (done <= time_.now()) {
    work();
  } else {
    time_.After(done - time_.now(), std::move(work));
  }
}

void load_simulation::Place(simulated_entry& entry) {
  entry.scheduler->Place(time_.now());
  for (order_batch& batch : std::exchange(entry.orders, {})) {
    session& to = *sessions_.at(batch.session);
    duration sending = Spend(entry, settings_.costs.order) - time_.now();
    waiting_priority waiting = entry.scheduler->WaitingPriority(batch.session);
    time_.After(sending + kNetworkDelay, [this, &to, batch = std::move(batch), waiting] {
      to.agent->freed->SetWaiting(to.id, waiting);
      Deliver(to, batch);
    });
  }
  for (auto [id, order] : std::exchange(entry.withdrawn, {})) {
    session& to = *sessions_.at(id);
    time_.After(kNetworkDelay, [this, &to, order = order] {
      to.agent->controller->Withdraw(to.id, order, time_.now());
    });
  }
}

void load_simulation::Deliver(session& to, const order_batch& batch) {
  for (const task_order& order : batch.orders) {
    to.orders_seen = std::max(to.orders_seen, order.order);
    to.agent->controller->Order({.session = to.id,
                                 .order = order.order,
                                 .task = order.task,
                                 .text = batch.text,
                                 .run = order.run,
                                 .resources = order.resources,
                                 .estimate = order.estimate},
                                time_.now());
  }
}

void load_simulation::StartAgent(simulated_agent& agent, unsigned number) {
  agent.number = number;
  agent.freed.emplace(settings_.freed);
  agent.slowness =
      number % settings_.slow_every == 0 ? settings_.slow_factor : settings_.normal_factor;
  bool is_large = settings_.large_every > 0 && number % settings_.large_every == 0;
  auto cpu = static_cast<double>(settings_.target_cpu) * (is_large ? kLargeFactor : 1);
  fake_leased_target::settings target{
      .id = "target-" + std::to_string(number),
      .capacity = {.cpu = static_cast<int64_t>(cpu), .mem_mb = 1'000'000, .gpu = 0},
      .clock_rate = 1.0,
      .run_time_of = [this, &agent](const task_ref& task) { return RunTime(agent, task); }};
  agent.target = std::make_unique<fake_leased_target>(
      time_, target, [this, &agent](const task_ref& task) { OnTaskStarted(agent, task); },
      [](const task_ref&) {});
  agent.controller = std::make_unique<run_controller>(
      settings_.controller, [this, &agent](const target_call& call) { CallTarget(agent, call); },
      [this, &agent](const run_result& result) {
        if (result.outcome == run_outcome::kDone) {
          caller& who = *callers_.at(result.task.job);
          who.work_done += ToSeconds(who.task_time) * static_cast<double>(who.kind->cpu) / 1000;
        }
        if (result.crash != crash_role::kNone) {
          for (session* each : agent.sessions) {
            each->crashes.push_back(
                {.task = result.task, .suspected = result.crash == crash_role::kSuspect});
          }
        }
        auto to = std::ranges::find(agent.sessions, result.session, &session::id);
        (*to)->results.push_back(result);
        if (!std::exchange(agent.results_due, true)) {
          time_.After(kResultBatchDelay, [this, &agent] {
            agent.results_due = false;
            SendDueReports(agent);
          });
        }
      },
      [](const run_log_event& /*note*/) {});
  AnnounceTarget(agent);
  for (unsigned link = 0; link < std::min(settings_.links, settings_.entries); ++link) {
    Connect(agent, *entries_[(number + link) % settings_.entries]);
  }
  time_.After(duration(static_cast<int64_t>(Uniform(random_, 0, ToSeconds(kAgentTick) * 1e6))),
              [this, &agent] { TickAgent(agent); });
}

void load_simulation::OnTaskStarted(simulated_agent& agent, const task_ref& task) {
  caller& who = *callers_.at(task.job);
  bool is_first = !std::exchange(who.has_started, true);
  totals_.started_of_refused += is_first && who.is_refused ? 1 : 0;
  if (!who.is_deadly || task.index != 0) {
    return;
  }
  time_.After(kCrashDelay, [this, &agent, job = task.job, id = agent.target->Id()] {
    if (agent.target->up() && agent.target->Id() == id) {
      CrashTarget(agent, job);
    }
  });
}

void load_simulation::CrashTarget(simulated_agent& agent, const std::string& job) {
  ++totals_.crashes[job];
  agent.target->CrashAndResetConnections();
  time_.After(kCrashedTime, [this, &agent] {
    agent.target->Restart();
    agent.controller->OnTargetAnnounced(agent.target->Announcement(), time_.now());
  });
}

void load_simulation::AnnounceTarget(simulated_agent& agent) {
  time_.After(kAnnouncementInterval, [this, &agent] { AnnounceTarget(agent); });
  if (!agent.target->up()) {
    return;
  }
  target_announcement announcement = agent.target->Announcement();
  announcement.draining = settings_.shortage.has_value() && settings_.shortage->Holds(Elapsed()) &&
                          agent.number >= settings_.targets_in_shortage;
  agent.controller->OnTargetAnnounced(announcement, time_.now());
}

void load_simulation::Connect(simulated_agent& agent, simulated_entry& entry) {
  auto made = std::make_unique<session>();
  made->id = next_session_++;
  made->entry = &entry;
  made->agent = &agent;
  agent.freed->OnSessionOpened(made->id);
  std::string name = "agent-" + std::to_string(agent.number);
  entry.scheduler->OnSessionOpened(made->id, {.name = name, .address = name, .domain = "zone-1"},
                                   time_.now());
  agent.controller->OnSessionOpened(made->id, time_.now());
  agent.sessions.push_back(made.get());
  sessions_[made->id] = std::move(made);
}

void load_simulation::TickAgent(simulated_agent& agent) {
  agent.controller->Tick(time_.now());
  SendDueReports(agent);
  time_.After(kAgentTick, [this, &agent] { TickAgent(agent); });
}

void load_simulation::SendDueReports(simulated_agent& agent) {
  target_status load = agent.controller->Load();
  agent.freed->Observe(load.free.cpu, time_.now());
  for (session* each : agent.sessions) {
    if (IsReportDue(*each, load)) {
      SendReport(*each);
    }
  }
}

bool load_simulation::IsReportDue(const session& to, const target_status& load) const {
  duration since = time_.now() - to.last_report;
  const freed_capacity& freed = *to.agent->freed;
  bool released = to.held > 0 && freed.HeldFrom(to.id) == 0;
  auto moved = static_cast<double>(std::abs(load.free.cpu - to.reported_load.free.cpu));
  bool changed = load.state != to.reported_load.state ||
                 moved > kReportedLoadChange * static_cast<double>(settings_.target_cpu);
  return !to.results.empty() || !to.crashes.empty() || released ||
         freed.IsOfferDue(to.id, to.last_report, time_.now()) || since >= kMaxReportInterval ||
         (changed && since >= kMinReportInterval);
}

void load_simulation::SendReport(session& from) {
  instant sent = time_.now();
  ++totals_.reports;
  from.last_report = sent;
  from.reported_load = from.agent->controller->Load();
  from.held = from.agent->freed->HeldFrom(from.id);
  target_status told = from.reported_load;
  told.free.cpu -= from.held;
  session_report report{.load = told,
                        .entries = static_cast<unsigned>(from.agent->sessions.size()),
                        .orders_seen = from.orders_seen,
                        .settled = from.agent->controller->Settled()};
  time_.After(kNetworkDelay, [this, &from, report, crashes = std::exchange(from.crashes, {}),
                              results = std::exchange(from.results, {}), sent] {
    OnProcessor(*from.entry, settings_.costs.report, [this, &from, report, crashes, results, sent] {
      from.entry->scheduler->OnReport(from.id, report, time_.now());
      for (const task_crash& crash : crashes) {
        from.entry->scheduler->OnTaskCrashed(crash, time_.now());
      }
      for (const run_result& result : results) {
        from.entry->scheduler->OnResult(result);
      }
      Place(*from.entry);
      waiting_priority waiting = from.entry->scheduler->WaitingPriority(from.id);
      time_.After(kNetworkDelay, [&from, sent, waiting] {
        from.agent->freed->SetWaiting(from.id, waiting);
        from.agent->controller->OnReportAnswered(from.id, sent);
      });
    });
  });
}

void load_simulation::CallTarget(simulated_agent& agent, const target_call& call) {
  if (const auto* start = std::get_if<start_call>(&call)) {
    if (settings_.unanswered_starts > 0 && Uniform(random_, 0, 1) < settings_.unanswered_starts) {
      time_.After(start->timeout, [this, &agent, serial = start->serial] {
        agent.controller->OnStartAnswered(serial, start_answer::kUnknown, std::nullopt,
                                          time_.now());
      });
      return;
    }
    time_.After(kTargetCallDelay, [this, &agent, call = *start] {
      if (!agent.target->up()) {
        agent.controller->OnStartAnswered(call.serial, start_answer::kNoListener, std::nullopt,
                                          time_.now());
        return;
      }
      start_answer answer = agent.target->Start(call);
      agent.controller->OnStartAnswered(call.serial, answer, agent.target->ClockMs(), time_.now());
    });
  } else if (const auto* stop = std::get_if<stop_call>(&call)) {
    time_.After(kTargetCallDelay, [&agent, call = *stop] {
      if (agent.target->up()) {
        agent.target->Stop(call);
      }
    });
  } else if (const auto* renewal = std::get_if<renew_call>(&call)) {
    time_.After(kTargetCallDelay, [this, &agent, call = *renewal] {
      if (!agent.target->up()) {
        agent.controller->OnRenewFailed(call.serial, renew_failure::kNoListener, time_.now());
        return;
      }
      agent.target->Renew(
          call, [this, &agent, serial = call.serial](const std::optional<target_report>& report,
                                                     renew_failure failure) {
            // Delivered asynchronously, as from a connection.
            time_.After(kTargetCallDelay, [this, &agent, serial, report, failure] {
              if (report.has_value()) {
                agent.controller->OnRenewAnswered(serial, *report, time_.now());
              } else {
                agent.controller->OnRenewFailed(serial, failure, time_.now());
              }
            });
          });
    });
  }
}

duration load_simulation::RunTime(const simulated_agent& agent, const task_ref& task) {
  double spread = Uniform(random_, 1 - settings_.task_spread, 1 + settings_.task_spread);
  bool stalled = settings_.stall.has_value() && settings_.stall->Holds(Elapsed()) &&
                 agent.number < settings_.stalled_targets;
  if (stalled) {
    return kStalledRunTime;
  }
  return Scaled(callers_.at(task.job)->task_time, agent.slowness * spread);
}

void load_simulation::ScheduleNext(const load_kind& kind) {
  double rate = kind.per_second;
  for (const auto& [span, factor] : settings_.bursts) {
    rate *= span.Holds(Elapsed()) ? factor : 1;
  }
  double pause = std::exponential_distribution<double>(rate)(arrivals_);
  time_.After(duration(static_cast<int64_t>(pause * 1e6)), [this, &kind] {
    if (Elapsed() < settings_.length) {
      SubmitJob(kind);
      ScheduleNext(kind);
    }
  });
}

load_simulation::simulated_entry& load_simulation::RandomEntry() {
  std::vector<double> weights(entries_.size(), 1);
  std::fill_n(weights.begin(), std::min<size_t>(settings_.heavy_entries, weights.size()),
              settings_.first_entry_weight);
  std::discrete_distribution<size_t> choice(weights.begin(), weights.end());
  return *entries_[choice(arrivals_)];
}

load_simulation::simulated_entry& load_simulation::SelectEntry() {
  std::vector<simulated_entry*> near;
  std::vector<simulated_entry*> far;
  for (const auto& entry : entries_) {
    if (!entry->rotation.IsOut()) {
      (entry->share.has_value() ? near : far).push_back(entry.get());
    }
  }
  const std::vector<simulated_entry*>& ready = near.empty() ? far : near;
  return ready.empty() ? RandomEntry() : *ready[arrivals_() % ready.size()];
}

void load_simulation::CloseConnection(const caller& who) {
  if (who.connection.has_value()) {
    connections_[*who.connection] = &SelectEntry();
  }
}

void load_simulation::SubmitJob(const load_kind& kind) {
  auto who = std::make_unique<caller>();
  who->kind = &kind;
  who->submitted = time_.now();
  double error = Uniform(arrivals_, 1 - settings_.estimate_error, 1 + settings_.estimate_error);
  who->task_time = kind.task_time;
  who->is_deadly = kind.deadly > 0 && Uniform(arrivals_, 0, 1) < kind.deadly;
  who->is_wide = kind.wide > 0 && Uniform(arrivals_, 0, 1) < kind.wide;
  std::string id = "job-" + std::to_string(next_job_++);
  job_submission submission{.id = id,
                            .text = std::make_shared<const std::string>(""),
                            .queue = {.name = kind.name,
                                      .service = "lights",
                                      .priority = kind.priority,
                                      .max_attempts = 3,
                                      .stretch = kStretch,
                                      .allowance = kAllowance},
                            .steps = {{.count = kind.tasks * (who->is_wide ? kWideFactor : 1),
                                       .resources = {.cpu = kind.cpu, .mem_mb = 100, .gpu = 0},
                                       .estimate = Scaled(kind.task_time, error)}},
                            .deadline = settings_.caller_timeout};
  if (!connections_.empty()) {
    who->connection = arrivals_() % connections_.size();
  }
  simulated_entry& entry =
      who->connection.has_value() ? *connections_[*who->connection] : RandomEntry();
  request_serial serial = entry.next_serial++;
  who->entry = &entry;
  entry.callers[serial] = who.get();
  callers_[id] = std::move(who);
  OnProcessor(entry, settings_.costs.request,
              [this, &entry, serial, submission = std::move(submission)]() mutable {
                if (entry.backlog.IsOver(time_.now())) {
                  Answer(entry, serial, {.outcome = job_outcome::kRefused, .reason = kBusy});
                  return;
                }
                entry.backlog.OnWorkPosted(time_.now());
                Admit(entry, serial, std::move(submission));
              });
}

void load_simulation::Admit(simulated_entry& entry, request_serial serial,
                            job_submission submission) {
  OnProcessor(
      entry, settings_.costs.job,
      [this, &entry, serial, arrived = time_.now(), submission = std::move(submission)]() mutable {
        submission.queued = time_.now() - arrived;
        entry.backlog.OnWorkTaken(submission.queued, time_.now());
        entry.scheduler->Submit(serial, std::move(submission), time_.now());
        Place(entry);
      });
}

void load_simulation::Count(const caller& who, const load_result& got) {
  totals_.kinds[who.kind->name + (who.is_deadly ? kDeadly : "")] += got;
  totals_.entries[who.entry->number] += got;
  if (who.is_wide) {
    totals_.kinds[who.kind->name + kWide] += got;
  }
  totals_.seconds[static_cast<size_t>(ToSeconds(who.submitted - begin_))] += got;
}

void load_simulation::OnAnswer(caller& who, const job_answer& answer) {
  duration took = time_.now() - who.submitted;
  duration objective = Scaled(who.task_time, kStretch) + kAllowance;
  bool completed = answer.outcome == job_outcome::kCompleted;
  load_result got{.submitted = 1, .served = completed ? 1U : 0U};
  if (completed && took <= objective) {
    got.in_time = 1;
  } else if (completed && took <= Scaled(objective, kLateObjectiveFactor)) {
    got.late = 1;
  } else if (answer.outcome == job_outcome::kRefused) {
    got.refused = 1;
    who.is_refused = true;
    totals_.started_of_refused += who.has_started ? 1 : 0;
    totals_.refused_after += took;
  } else {
    got.lost = 1;
    got.failed = answer.outcome == job_outcome::kFailed ? 1 : 0;
  }
  who.answered = true;
  Count(who, got);
  totals_.work_done += who.work_done;
  totals_.work_wasted += completed ? 0 : who.work_done;
}

}  // namespace wagtail::leased
