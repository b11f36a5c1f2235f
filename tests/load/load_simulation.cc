#include "tests/load/load_simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace wagtail::leased {
namespace {

constexpr duration kEntryTick = std::chrono::milliseconds(20);
constexpr duration kAgentTick = std::chrono::milliseconds(25);
constexpr duration kGather = std::chrono::milliseconds(3);
constexpr duration kWay = std::chrono::milliseconds(1);
constexpr duration kTargetWay = std::chrono::microseconds(300);
constexpr duration kHeartbeat = std::chrono::milliseconds(1500);
constexpr duration kReportPause = std::chrono::milliseconds(120);
constexpr duration kLoadPause = std::chrono::milliseconds(40);
constexpr double kLoadStep = 0.15;
constexpr duration kPatience = std::chrono::milliseconds(2400);
constexpr double kStretch = 1.6;
constexpr duration kAllowance = std::chrono::milliseconds(60);
constexpr double kLateLimit = 3;
constexpr double kSlow = 2;
constexpr const char* kBusy = "busy";
/// Longer than any caller waits.
constexpr duration kStandstill = std::chrono::seconds(20);

double Uniform(std::mt19937_64& random, double least, double most) {
  return std::uniform_real_distribution<double>(least, most)(random);
}

}  // namespace

load_result& load_result::operator+=(const load_result& other) {
  handed_in += other.handed_in;
  in_time += other.in_time;
  late += other.late;
  refused += other.refused;
  lost += other.lost;
  return *this;
}

double load_result::InTimeShare() const {
  return handed_in == 0 ? 1 : static_cast<double>(in_time) / handed_in;
}

load_result load_simulation::findings::Sum() const {
  load_result sum;
  for (const auto& [name, result] : kinds) {
    sum += result;
  }
  return sum;
}

struct load_simulation::entry_node {
  explicit entry_node(const entry_rotation::options& options) : rotation(options) {}

  std::unique_ptr<job_scheduler> board;
  std::vector<order_batch> orders;
  std::vector<std::pair<session_id, uint64_t>> withdrawn;
  request_serial next_serial = 1;
  std::map<request_serial, caller*> callers;
  loop_backlog backlog{{}};
  entry_rotation rotation;
  unsigned answers_out = 0;     ///< given while out of the rotation
  std::optional<double> share;  ///< of a core; nothing if processor time is not counted
  instant idle_from{};          ///< when its processor has done all that it has to
};

struct load_simulation::agent_node {
  unsigned number = 0;
  double slowness = 1;
  std::unique_ptr<run_controller> controller;
  std::unique_ptr<fake_leased_target> target;
  std::vector<session*> sessions;
  bool results_due = false;
};

struct load_simulation::session {
  session_id id = 0;
  entry_node* entry = nullptr;
  agent_node* agent = nullptr;
  uint64_t orders_seen = 0;
  std::vector<run_result> results;
  target_status told;
  instant last_report{};
};

struct load_simulation::caller {
  const load_kind* kind = nullptr;
  instant handed_in;
  duration task_time{0};
  double work_done = 0;  ///< core-seconds
  std::optional<size_t> connection{};
  bool answered = false;
};

load_simulation::load_simulation(settings settings)
    : settings_(std::move(settings)),
      arrivals_(settings_.seed),
      random_(settings_.seed + 1),
      begin_(time_.now()) {
  findings_.seconds.resize(static_cast<size_t>(ToSeconds(settings_.length)) + 1);
  for (unsigned number = 0; number < settings_.entries; ++number) {
    entries_.push_back(std::make_unique<entry_node>(settings_.rotation));
    entries_.back()->share =
        number < settings_.small_entries ? settings_.small_entry_share : std::nullopt;
    StartEntry(*entries_.back());
  }
  for (unsigned number = 0; number < settings_.connections; ++number) {
    connections_.push_back(entries_[number % settings_.small_entries].get());
  }
  for (unsigned number = 0; number < settings_.targets; ++number) {
    agents_.push_back(std::make_unique<agent_node>());
    StartAgent(*agents_.back(), number);
  }
}

load_simulation::~load_simulation() = default;

const load_simulation::findings& load_simulation::Run() {
  constexpr duration kWarmUp = std::chrono::seconds(2);
  time_.RunUntil(begin_ + kWarmUp);
  begin_ = time_.now();
  for (const load_kind& kind : settings_.kinds) {
    ScheduleNext(kind);
  }
  time_.RunUntil(begin_ + settings_.length + 2 * kPatience);
  for (const auto& [id, who] : callers_) {
    if (!who->answered) {
      Count(*who, {.handed_in = 1, .lost = 1});
    }
  }
  return findings_;
}

duration load_simulation::Elapsed() const { return time_.now() - begin_; }

void load_simulation::StartEntry(entry_node& entry) {
  entry.board = std::make_unique<job_scheduler>(
      settings_.board, [&entry](order_batch batch) { entry.orders.push_back(std::move(batch)); },
      [&entry](session_id session, uint64_t order) {
        entry.withdrawn.emplace_back(session, order);
      },
      [this, &entry](request_serial serial, const job_answer& answer) {
        Spend(entry, settings_.costs.answer);
        Answer(entry, serial, answer);
      },
      [](const job_log_event& /*note*/) {});
  TickEntry(entry);
}

void load_simulation::Answer(entry_node& entry, request_serial serial, const job_answer& answer) {
  auto found = entry.callers.find(serial);
  caller* who = found->second;
  entry.callers.erase(found);
  bool lets_go =
      entry.rotation.IsOut() && ++entry.answers_out % settings_.rotation.answers_per_close == 0;
  if (lets_go || answer.reason == kBusy) {
    EndConnection(*who);
  }
  time_.At(entry.idle_from, [this, who, answer] { Answered(*who, answer); });
}

void load_simulation::TickEntry(entry_node& entry) {
  OnProcessor(entry, duration::zero(), [this, &entry, due = time_.now()] {
    entry.backlog.OnWorkTaken(time_.now() - due, time_.now());
    entry.backlog.OnTimerSet(time_.now() + kEntryTick);
    entry.rotation.Observe(entry.backlog.IsOver(time_.now()), time_.now());
    entry.board->Tick(time_.now());
    Place(entry);
    time_.After(kEntryTick, [this, &entry] { TickEntry(entry); });
  });
}

instant load_simulation::Spend(entry_node& entry, duration cost) {
  if (!entry.share.has_value()) {
    return time_.now();
  }
  duration spent = Scaled(cost, 1 / *entry.share);
  entry.idle_from = std::max(entry.idle_from, time_.now()) + spent;
  bool counts = time_.now() >= begin_ && Elapsed() < settings_.length;
  findings_.processor_used += counts ? spent : duration::zero();
  return entry.idle_from;
}

void load_simulation::OnProcessor(entry_node& entry, duration cost, std::function<void()> work) {
  instant done = Spend(entry, cost);
  if (done <= time_.now()) {
    work();
  } else {
    time_.After(done - time_.now(), std::move(work));
  }
}

void load_simulation::Place(entry_node& entry) {
  entry.board->Place(time_.now());
  for (order_batch& batch : std::exchange(entry.orders, {})) {
    session& to = *sessions_.at(batch.session);
    duration sending = Spend(entry, settings_.costs.order) - time_.now();
    time_.After(sending + kWay, [this, &to, batch = std::move(batch)] { Deliver(to, batch); });
  }
  for (auto [id, order] : std::exchange(entry.withdrawn, {})) {
    session& to = *sessions_.at(id);
    time_.After(kWay, [this, &to, order = order] {
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

void load_simulation::StartAgent(agent_node& agent, unsigned number) {
  agent.number = number;
  agent.slowness = number % settings_.slow_every == 0 ? kSlow : 1;
  fake_leased_target::settings target{
      .id = "target-" + std::to_string(number),
      .capacity = {.cpu = settings_.target_cpu, .mem_mb = 1'000'000, .gpu = 0},
      .clock_rate = 1.0,
      .run_time_of = [this, &agent](const task_ref& task) { return RunTime(agent, task); }};
  agent.target = std::make_unique<fake_leased_target>(
      time_, target, [](const task_ref&) {}, [](const task_ref&) {});
  agent.controller = std::make_unique<run_controller>(
      settings_.controller, [this, &agent](const target_call& call) { Carry(agent, call); },
      [this, &agent](const run_result& result) {
        if (result.outcome == run_outcome::kDone) {
          caller& who = *callers_.at(result.task.job);
          who.work_done += ToSeconds(who.task_time) * static_cast<double>(who.kind->cpu) / 1000;
        }
        auto to = std::ranges::find(agent.sessions, result.session, &session::id);
        (*to)->results.push_back(result);
        if (!std::exchange(agent.results_due, true)) {
          time_.After(kGather, [this, &agent] {
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

void load_simulation::AnnounceTarget(agent_node& agent) {
  target_announcement heard = agent.target->Announcement();
  heard.draining = settings_.shortage.has_value() && settings_.shortage->Holds(Elapsed()) &&
                   agent.number >= settings_.targets_in_shortage;
  agent.controller->OnTargetAnnounced(heard, time_.now());
  time_.After(kHeartbeat, [this, &agent] { AnnounceTarget(agent); });
}

void load_simulation::Connect(agent_node& agent, entry_node& entry) {
  auto made = std::make_unique<session>();
  made->id = next_session_++;
  made->entry = &entry;
  made->agent = &agent;
  std::string name = "agent-" + std::to_string(agent.number);
  entry.board->OnSessionOpened(made->id, {.name = name, .address = name, .domain = "zone-1"},
                               time_.now());
  agent.controller->OnSessionOpened(made->id, time_.now());
  agent.sessions.push_back(made.get());
  sessions_[made->id] = std::move(made);
}

void load_simulation::TickAgent(agent_node& agent) {
  agent.controller->Tick(time_.now());
  SendDueReports(agent);
  time_.After(kAgentTick, [this, &agent] { TickAgent(agent); });
}

void load_simulation::SendDueReports(agent_node& agent) {
  target_status load = agent.controller->Load();
  for (session* each : agent.sessions) {
    duration since = time_.now() - each->last_report;
    auto moved = static_cast<double>(std::abs(load.free.cpu - each->told.free.cpu));
    bool changed = load.state != each->told.state ||
                   moved > kLoadStep * static_cast<double>(settings_.target_cpu);
    if (!each->results.empty() || since >= kReportPause || (changed && since >= kLoadPause)) {
      SendReport(*each);
    }
  }
}

void load_simulation::SendReport(session& from) {
  instant sent = time_.now();
  from.last_report = sent;
  from.told = from.agent->controller->Load();
  session_report report{.load = from.told,
                        .entries = static_cast<unsigned>(from.agent->sessions.size()),
                        .orders_seen = from.orders_seen,
                        .settled = from.agent->controller->Settled()};
  time_.After(kWay, [this, &from, report, results = std::exchange(from.results, {}), sent] {
    OnProcessor(*from.entry, settings_.costs.report, [this, &from, report, results, sent] {
      from.entry->board->OnReport(from.id, report, time_.now());
      for (const run_result& result : results) {
        from.entry->board->OnResult(result);
      }
      Place(*from.entry);
      time_.After(kWay, [&from, sent] { from.agent->controller->OnReportAnswered(from.id, sent); });
    });
  });
}

void load_simulation::Carry(agent_node& agent, const target_call& call) {
  if (const auto* start = std::get_if<start_call>(&call)) {
    time_.After(kTargetWay, [this, &agent, call = *start] {
      start_answer answer = agent.target->Start(call);
      agent.controller->OnStartAnswered(call.serial, answer, agent.target->ClockMs(), time_.now());
    });
  } else if (const auto* stop = std::get_if<stop_call>(&call)) {
    time_.After(kTargetWay, [&agent, call = *stop] { agent.target->Stop(call); });
  } else if (const auto* renewal = std::get_if<renew_call>(&call)) {
    time_.After(kTargetWay, [this, &agent, call = *renewal] {
      agent.target->Renew(
          call, [this, &agent, serial = call.serial](const std::optional<target_report>& report,
                                                     renew_failure failure) {
            // Answered from the loop, as a connection would.
            time_.After(kTargetWay, [this, &agent, serial, report, failure] {
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

duration load_simulation::RunTime(const agent_node& agent, const task_ref& task) {
  double spread = Uniform(random_, 1 - settings_.task_spread, 1 + settings_.task_spread);
  bool stands_still = settings_.standstill.has_value() && settings_.standstill->Holds(Elapsed()) &&
                      agent.number < settings_.targets_in_standstill;
  if (stands_still) {
    return kStandstill;
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
      HandIn(kind);
      ScheduleNext(kind);
    }
  });
}

load_simulation::entry_node& load_simulation::AnyEntry() {
  std::vector<double> weights(entries_.size(), 1);
  weights.front() = settings_.first_entry;
  std::discrete_distribution<size_t> choice(weights.begin(), weights.end());
  return *entries_[choice(arrivals_)];
}

load_simulation::entry_node& load_simulation::EntryForConnection() {
  std::vector<entry_node*> near;
  std::vector<entry_node*> far;
  for (const auto& entry : entries_) {
    if (!entry->rotation.IsOut()) {
      (entry->share.has_value() ? near : far).push_back(entry.get());
    }
  }
  const std::vector<entry_node*>& ready = near.empty() ? far : near;
  return ready.empty() ? AnyEntry() : *ready[arrivals_() % ready.size()];
}

void load_simulation::EndConnection(const caller& who) {
  if (who.connection.has_value()) {
    connections_[*who.connection] = &EntryForConnection();
  }
}

void load_simulation::HandIn(const load_kind& kind) {
  auto who = std::make_unique<caller>();
  who->kind = &kind;
  who->handed_in = time_.now();
  double error = Uniform(arrivals_, 1 - settings_.estimate_error, 1 + settings_.estimate_error);
  who->task_time = kind.task_time;
  std::string id = "job-" + std::to_string(next_job_++);
  job_submission submission{.id = id,
                            .text = std::make_shared<const std::string>(""),
                            .queue = {.name = kind.name,
                                      .service = "lights",
                                      .max_attempts = 3,
                                      .stretch = kStretch,
                                      .allowance = kAllowance},
                            .steps = {{.count = kind.tasks,
                                       .resources = {.cpu = kind.cpu, .mem_mb = 100, .gpu = 0},
                                       .estimate = Scaled(kind.task_time, error)}},
                            .deadline = kPatience};
  if (!connections_.empty()) {
    who->connection = arrivals_() % connections_.size();
  }
  entry_node& entry = who->connection.has_value() ? *connections_[*who->connection] : AnyEntry();
  request_serial serial = entry.next_serial++;
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

void load_simulation::Admit(entry_node& entry, request_serial serial, job_submission submission) {
  OnProcessor(
      entry, settings_.costs.job,
      [this, &entry, serial, arrived = time_.now(), submission = std::move(submission)]() mutable {
        submission.queued = time_.now() - arrived;
        entry.backlog.OnWorkTaken(submission.queued, time_.now());
        entry.board->Submit(serial, std::move(submission), time_.now());
        Place(entry);
      });
}

void load_simulation::Count(const caller& who, const load_result& got) {
  findings_.kinds[who.kind->name] += got;
  findings_.seconds[static_cast<size_t>(ToSeconds(who.handed_in - begin_))] += got;
}

void load_simulation::Answered(caller& who, const job_answer& answer) {
  duration took = time_.now() - who.handed_in;
  duration objective = Scaled(who.task_time, kStretch) + kAllowance;
  load_result got{.handed_in = 1};
  bool whole = answer.outcome == job_outcome::kCompleted;
  if (whole && took <= objective) {
    got.in_time = 1;
  } else if (whole && took <= Scaled(objective, kLateLimit)) {
    got.late = 1;
  } else if (answer.outcome == job_outcome::kRefused) {
    got.refused = 1;
  } else {
    got.lost = 1;
  }
  who.answered = true;
  Count(who, got);
  findings_.work_done += who.work_done;
  findings_.work_wasted += whole ? 0 : who.work_done;
}

}  // namespace wagtail::leased
