#include "tests/soak/simulation.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "membership/possible_targets.h"

namespace wagtail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kEntries = 3;
constexpr size_t kTargets = 6;
constexpr size_t kDomains = 3;
constexpr duration kIdLife = seconds(60);
constexpr duration kReadInterval = milliseconds(500);
constexpr duration kSilenceLimit = seconds(3);
constexpr size_t kMaxViolations = 1;
constexpr int kMaxFailedAsks = 5;
const std::string kService = "court-control";

std::string TargetName(size_t place) { return absl::StrCat("t", place); }

}  // namespace

simulation::simulation(sim_options options)
    : options_(options), random_(options.seed), domain_leaving_(kDomains, false) {
  entries_.resize(kEntries);
  targets_.resize(kTargets);
  for (size_t place = 0; place < kTargets; ++place) {
    StartTarget(place);
  }
  for (size_t place = 0; place < kEntries; ++place) {
    StartEntry(place);
  }
  queue_.After(seconds(1), [this] { NewJob(); });
  queue_.After(seconds(2), [this] { Fault(); });
}

void simulation::Run() {
  while (queue_.count() < options_.events && violations_.size() < kMaxViolations) {
    if (!queue_.RunNext()) {
      return;
    }
  }
}

bool simulation::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

uint64_t simulation::Below(uint64_t bound) {
  return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random_);
}

duration simulation::Between(duration least, duration most) {
  return duration(std::uniform_int_distribution<int64_t>(least.count(), most.count())(random_));
}

void simulation::Violate(const std::string& what) {
  violations_.push_back(absl::StrCat(what, " at event ", queue_.count()));
}

// ---- the table ----

void simulation::WriteRow(const target_row& row) {
  table_log_.push_back({.key = TargetKey(row.incarnation.target),
                        .revision = ++table_revision_,
                        .value = Serialise(row)});
}

void simulation::ReadTable(const entry_pointer& entry) {
  if (!entry->alive) {
    return;
  }
  if (!table_down_) {
    uint64_t after = entry->registry.revision();
    table_changes changes{.revision = table_revision_, .rows = {}};
    std::ranges::copy_if(table_log_, std::back_inserter(changes.rows),
                         [after](const table_row& row) { return row.revision > after; });
    queue_.After(Between(milliseconds(1), milliseconds(300)), [this, entry, changes] {
      OnEntry(entry, [this, entry, changes] {
        for (const target_event& event : entry->registry.OnChanges(changes)) {
          if (event.previous.has_value()) {
            entry->decisions.RemoveTarget(event.previous->incarnation, queue_.now());
          }
          if (event.kind == row_event_kind::kAdded || event.kind == row_event_kind::kReplaced) {
            const target_row& row = *event.row;
            entry->decisions.AddTarget({.incarnation = row.incarnation,
                                        .service = row.service,
                                        .failure_domain = row.failure_domain,
                                        .slots = row.slots,
                                        .accelerator = ""},
                                       entry->registry.Find(event.name)->revision, queue_.now());
            entry->decisions.OnLinkLost(row.incarnation, queue_.now());
            Connect(entry, row.incarnation);
          }
          CarryOut(entry);
        }
      });
    });
  }
  queue_.After(kReadInterval, [this, entry] { ReadTable(entry); });
}

// ---- processes ----

void simulation::StartEntry(size_t place) {
  uint64_t nonce = next_nonce_++;
  entries_[place] =
      std::make_shared<sim_entry>(nonce, options_.seed + nonce, kIdLife, queue_.now());
  ReadTable(entries_[place]);
  EntryTick(entries_[place]);
}

void simulation::StartTarget(size_t place) {
  std::optional<recorded_target_row> previous;
  for (const table_row& row : table_log_) {
    if (row.key == TargetKey(TargetName(place))) {
      previous = {.row = *ParseTargetRow(row.key, *row.value), .revision = row.revision};
    }
  }
  target_row wanted;
  wanted.incarnation.target = TargetName(place);
  wanted.service = kService;
  wanted.failure_domain = absl::StrCat("d", place % kDomains);
  wanted.address = "127.0.0.1:1";
  wanted.slots = 2;
  target_row row = *NextAnnouncement(wanted, previous);
  WriteRow(row);
  size_t domain = place % kDomains;
  targets_[place] =
      std::make_shared<sim_target>(row, table_revision_, kIdLife, [this, domain](instant /*now*/) {
        return domain_leaving_[domain] ? refusal::kLeaving : refusal::kNone;
      });
  lives_[row.incarnation] = targets_[place];
}

void simulation::EntryTick(const entry_pointer& entry) {
  if (!entry->alive) {
    return;
  }
  if (!entry->paused) {
    entry->decisions.Tick(entry->UptimeMs(queue_.now()), queue_.now());
    for (const target_pointer& target : targets_) {
      bool leaving = domain_leaving_[target->row.failure_domain.back() - '0'];
      entry->decisions.SetAdmitted(target->row.incarnation, !leaving, queue_.now());
    }
    CarryOut(entry);
  }
  queue_.After(milliseconds(100), [this, entry] { EntryTick(entry); });
}

void simulation::Fault() {
  queue_.After(Between(milliseconds(50), seconds(2)), [this] { Fault(); });
  entry_pointer entry = RandomEntry();
  switch (Below(12)) {
    case 0: {
      if (entry == nullptr) {
        return;
      }
      ++counts_.entry_kills;
      entry->alive = false;
      auto place = static_cast<size_t>(std::ranges::find(entries_, entry) - entries_.begin());
      queue_.After(Between(milliseconds(100), seconds(5)), [this, place] { StartEntry(place); });
      return;
    }
    case 1:
    case 2:
      if (entry != nullptr) {
        PauseEntry(entry);
      }
      return;
    case 3:
      KillTarget(Below(kTargets));
      return;
    case 4:
      if (Chance(0.2)) {
        ++counts_.domain_kills;
        size_t domain = Below(kDomains);
        for (size_t place = domain; place < kTargets; place += kDomains) {
          KillTarget(place);
        }
      }
      return;
    case 5:
      ToggleLeaving();
      return;
    case 6:
      table_down_ = !table_down_;
      counts_.table_outages += table_down_ ? 1 : 0;
      return;
    default:
      if (entry != nullptr && !entry->links.empty()) {
        auto link = entry->links.begin();
        std::advance(link, static_cast<int64_t>(Below(entry->links.size())));
        Cut(entry, link->first);
      }
      return;
  }
}

void simulation::KillTarget(size_t place) {
  target_pointer target = targets_[place];
  if (!target->alive) {
    return;
  }
  ++counts_.target_kills;
  target->alive = false;
  for (const entry_pointer& entry : entries_) {
    Cut(entry, target->row.incarnation);
  }
  queue_.After(Between(milliseconds(100), seconds(4)), [this, place] {
    if (table_down_) {
      // An announcement waits for the table; until then the target gets no work.
      queue_.After(seconds(1), [this, place] { StartTarget(place); });
      return;
    }
    StartTarget(place);
  });
}

void simulation::PauseEntry(const entry_pointer& entry) {
  if (entry->paused) {
    return;
  }
  ++counts_.entry_pauses;
  entry->paused = true;
  queue_.After(Between(milliseconds(200), seconds(20)), [this, entry] {
    entry->paused = false;
    std::vector<std::function<void()>> backlog = std::exchange(backlogs_[entry->self.nonce], {});
    for (const auto& work : backlog) {
      OnEntry(entry, work);
    }
  });
}

void simulation::ToggleLeaving() {
  size_t domain = Below(kDomains);
  domain_leaving_[domain] = !domain_leaving_[domain];
  counts_.leaves += domain_leaving_[domain] ? 1 : 0;
  for (const target_pointer& target : targets_) {
    if (target->alive) {
      PumpTarget(target);
    }
  }
}

// ---- links ----

void simulation::Connect(const entry_pointer& entry, const target_incarnation& target) {
  auto life = lives_.find(target);
  bool superseded = entry->registry.Find(target.target) == nullptr ||
                    !entry->registry.Find(target.target)->row.has_value() ||
                    entry->registry.Find(target.target)->row->incarnation != target;
  if (!entry->alive || superseded) {
    return;
  }
  sim_entry::link& link = entry->links[target];
  uint64_t generation = ++link.generation;
  connections_[{entry->self.nonce, target}] = {generation, false};
  if (!life->second->alive) {
    queue_.After(milliseconds(400), [this, entry, target] {
      OnEntry(entry, [this, entry, target] { Connect(entry, target); });
    });
    return;
  }
  SendSettlement(entry, target, generation, entry->decisions.Unsettled(target), queued_tasks::kKeep,
                 true);
}

void simulation::Cut(const entry_pointer& entry, const target_incarnation& target) {
  auto connection = connections_.find({entry->self.nonce, target});
  if (connection == connections_.end() || connection->second.second || !entry->alive) {
    return;
  }
  ++counts_.link_cuts;
  connection->second.second = true;
  uint64_t generation = connection->second.first;
  queue_.After(Between(milliseconds(1), kSilenceLimit), [this, entry, target, generation] {
    OnEntry(entry, [this, entry, target, generation] {
      sim_entry::link& link = entry->links[target];
      if (link.generation != generation) {
        return;
      }
      link.up = false;
      entry->decisions.OnLinkLost(target, queue_.now());
      CarryOut(entry);
      Connect(entry, target);
    });
  });
}

duration simulation::TravelTime(bool cut, bool& lost) {
  lost = false;
  if (!cut) {
    return Between(milliseconds(1), milliseconds(3));
  }
  lost = Chance(0.6);
  ++(lost ? counts_.lost_messages : counts_.late_messages);
  return Between(milliseconds(1), seconds(8));
}

void simulation::ToTarget(const entry_pointer& entry, const target_incarnation& target,
                          target_work work) {
  bool lost = false;
  duration delay = TravelTime(connections_[{entry->self.nonce, target}].second, lost);
  if (lost) {
    return;
  }
  queue_.After(delay, [this, target, work = std::move(work)] {
    const target_pointer& life = lives_.at(target);
    if (life->alive) {
      work(*life);
      PumpTarget(life);
    }
  });
}

void simulation::ToEntry(const entry_pointer& entry, const target_incarnation& target,
                         uint64_t generation, entry_work work) {
  const auto& connection = connections_[{entry->self.nonce, target}];
  bool lost = false;
  duration delay = TravelTime(connection.second || connection.first != generation, lost);
  if (lost) {
    return;
  }
  queue_.After(delay, [this, entry, target, generation, work = std::move(work)] {
    OnEntry(entry, [this, entry, target, generation, work] {
      if (entry->links[target].generation != generation) {
        return;  // a message of a connection that was given up
      }
      work(*entry);
      CarryOut(entry);
    });
  });
}

void simulation::OnEntry(const entry_pointer& entry, const std::function<void()>& work) {
  if (!entry->alive) {
    return;
  }
  if (entry->paused) {
    backlogs_[entry->self.nonce].push_back(work);
    return;
  }
  work();
}

// ---- work ----

void simulation::CarryOut(const entry_pointer& entry) {
  for (auto actions = entry->decisions.TakeActions(); !actions.empty();
       actions = entry->decisions.TakeActions()) {
    for (dispatch_action& action : actions) {
      if (auto* start = std::get_if<start_action>(&action)) {
        SendStart(entry, *start);
      } else if (auto* withdrawal = std::get_if<withdraw_action>(&action)) {
        SendWithdrawal(entry, *withdrawal);
      } else {
        auto& answer = std::get<answer_action>(action);
        std::ranges::for_each(answer.waiting,
                              [&answer](const answer_hook& hook) { hook(answer.answer); });
      }
    }
  }
}

void simulation::SendStart(const entry_pointer& entry, const start_action& action) {
  uint64_t uptime = entry->UptimeMs(queue_.now());
  uint64_t generation = entry->links[action.target].generation;
  ToTarget(entry, action.target,
           [this, entry, uptime, generation, request = action.request](sim_target& target) {
             refusal reason = target.ledger.Accept(request, uptime, queue_.now());
             if (reason == refusal::kNone) {
               return;
             }
             target_incarnation self = target.row.incarnation;
             target_load load{.running = target.ledger.running(), .queued = target.ledger.queued()};
             ToEntry(entry, self, generation,
                     [this, self, key = request.key, reason, load](sim_entry& to) {
                       to.decisions.OnVerdict(self, key, reason, load, queue_.now());
                     });
           });
}

void simulation::SendWithdrawal(const entry_pointer& entry, const withdraw_action& action) {
  uint64_t generation = entry->links[action.target].generation;
  SendSettlement(entry, action.target, generation, {action.request}, queued_tasks::kWithdraw,
                 false);
}

void simulation::SendSettlement(const entry_pointer& entry, const target_incarnation& target,
                                uint64_t generation, const std::vector<start_request>& tasks,
                                queued_tasks queued, bool is_handshake) {
  ToTarget(entry, target, [=, this](sim_target& at) {
    if (is_handshake) {
      uint64_t& session = sessions_[{entry->self.nonce, target}];
      session = std::max(session, generation);
    }
    start_ledger copy = at.ledger;
    bool mutated = options_.mutation == sim_mutation::kSettleWithoutRefusal;
    start_ledger& ledger = mutated ? copy : at.ledger;
    std::vector<task_record> records = ledger.Settle(tasks, queued, queue_.now());
    ToEntry(entry, target, generation, [=, this](sim_entry& to) {
      for (const task_record& record : records) {
        to.decisions.OnSettled(target, record, queue_.now());
      }
      if (is_handshake) {
        to.links[target].up = true;
        to.decisions.OnLinkRestored(target, queue_.now());
      }
    });
  });
}

void simulation::PumpTarget(const target_pointer& target) {
  while (auto next = target->ledger.TakeNext(queue_.now())) {
    const start_request& request = next->request;
    if (next->reason == refusal::kNone) {
      BeginTask(target, request);
      continue;
    }
    target_incarnation self = target->row.incarnation;
    TellOwner(target, request.key,
              [this, self, key = request.key, reason = next->reason](sim_entry& to) {
                to.decisions.OnVerdict(self, key, reason, {}, queue_.now());
              });
  }
  target->ledger.Expire(queue_.now());
}

void simulation::BeginTask(const target_pointer& target, const start_request& request) {
  ++counts_.starts;
  auto [record, is_first] =
      starts_.try_emplace(request.key, start_record{.target = target->row.incarnation});
  if (!is_first) {
    Violate(
        absl::StrCat("task started twice: ", ToString(request.key.job), "/", request.key.index));
  }
  job& owner = jobs_.at(request.key.job);
  ++owner.started;
  if (owner.not_run_told) {
    Violate(absl::StrCat("started after 'not run': ", ToString(request.key.job)));
  }
  duration run_time =
      Chance(0.02) ? Between(seconds(1), seconds(5)) : Between(milliseconds(5), milliseconds(300));
  queue_.After(run_time, [this, target, request, run_time] { EndTask(target, request, run_time); });
}

void simulation::EndTask(const target_pointer& target, const start_request& request,
                         duration run_time) {
  if (!target->alive) {
    return;
  }
  task_result result;
  result.key = request.key;
  result.completed = !Chance(0.01);
  result.body = BodyOf(request.key, target->row.incarnation);
  result.run_time = run_time;
  starts_.at(request.key).completed = result.completed;
  target->ledger.Finish(result, queue_.now());
  target_incarnation self = target->row.incarnation;
  target_load load{.running = target->ledger.running(), .queued = target->ledger.queued()};
  TellOwner(target, request.key, [this, self, result, load](sim_entry& to) {
    to.decisions.OnResult(self, result, load, queue_.now());
  });
  PumpTarget(target);
}

void simulation::TellOwner(const target_pointer& target, const task_key& key, entry_work work) {
  entry_pointer owner = EntryOf(key.job.owner);
  const target_incarnation& self = target->row.incarnation;
  if (owner != nullptr) {
    ToEntry(owner, self, sessions_[{owner->self.nonce, self}], std::move(work));
  }
}

// ---- callers ----

void simulation::NewJob() {
  queue_.After(Between(milliseconds(5), milliseconds(200)), [this] { NewJob(); });
  entry_pointer entry = RandomEntry();
  if (entry == nullptr || entry->paused || entry->registry.revision() == 0) {
    return;
  }
  job made;
  job_submission& submission = made.submission;
  submission.key = {.owner = entry->self, .sequence = ++entry->sequence};
  submission.team = "club";
  submission.digest = Below(1'000'000) + 1;
  submission.minted_uptime_ms = entry->UptimeMs(queue_.now());
  submission.registry_revision = entry->registry.revision();
  submission.needs = {{.service = kService, .requirements = {}}};
  uint64_t tasks = Chance(0.05) ? 20 : 1 + Below(4);
  for (uint64_t index = 0; index < tasks; ++index) {
    auto stage = static_cast<uint32_t>(Chance(0.2) ? 1 : 0);
    submission.tasks.push_back(
        {.service = kService, .body = "x", .stage = stage, .timeout = seconds(10)});
  }
  ++counts_.jobs;
  job_key key = submission.key;
  jobs_[key] = std::move(made);
  duration delay = Chance(0.05) ? Between(seconds(1), seconds(70)) : duration::zero();
  queue_.After(delay, [this, entry, key] { SubmitAt(entry, key, 3); });
}

void simulation::SubmitAt(const entry_pointer& entry, const job_key& key, int tries_left) {
  if (tries_left > 0 && Chance(0.5)) {
    queue_.After(Between(milliseconds(1), seconds(15)), [this, key, tries_left] {
      if (entry_pointer other = RandomEntry(); other != nullptr) {
        SubmitAt(other, key, tries_left - 1);
      }
    });
  }
  if (!entry->alive || entry->paused) {
    return;  // the caller hears nothing
  }
  entry_pointer owner = EntryOf(key.owner);
  bool owner_answers = owner != nullptr && !owner->paused && (owner == entry || Chance(0.9));
  if (!owner_answers) {
    Recover(entry, key);
    return;
  }
  job_submission submission = jobs_.at(key).submission;
  submission.deadline = queue_.now() + Between(milliseconds(50), seconds(10));
  submit_outcome outcome = owner->decisions.Submit(
      std::move(submission), [this, key](const job_answer& answer) { OnAnswer(key, answer); },
      owner->UptimeMs(queue_.now()), queue_.now());
  counts_.joins += outcome == submit_outcome::kJoined ? 1 : 0;
  if (Chance(0.05)) {
    owner->decisions.Cancel(key, queue_.now());
    ++counts_.cancels;
  }
  CarryOut(owner);
}

void simulation::Recover(const entry_pointer& entry, const job_key& key) {
  ++counts_.recoveries;
  const job_submission& submission = jobs_.at(key).submission;
  possible_targets possible =
      PossibleTargets(entry->registry, kService, submission.registry_revision);
  recovery_targets places;
  std::ranges::transform(possible.present, std::back_inserter(places.present),
                         &target_row::incarnation);
  places.records_lost =
      !possible.CanProveNotRun() && options_.mutation != sim_mutation::kIgnoreLostRecords;
  auto run = std::make_shared<recovery_run>(recovery_run{
      .key = key,
      .entry = entry,
      .decisions =
          recovery(submission.digest, static_cast<uint32_t>(submission.tasks.size()), places),
      .deadline = queue_.now() + seconds(10),
      .failed = {}});
  RecoveryRound(run);
}

void simulation::RecoveryRound(const std::shared_ptr<recovery_run>& run) {
  if (!run->entry->alive) {
    return;
  }
  std::optional<job_answer> verdict = run->decisions.FinalAnswer();
  if (verdict.has_value() || queue_.now() >= run->deadline) {
    OnAnswer(run->key, verdict.value_or(run->decisions.AnswerAtDeadline()));
    return;
  }
  for (const target_incarnation& target : run->decisions.TargetsToQuery()) {
    AskPlace(run, target);
  }
  queue_.After(milliseconds(100), [this, run] { RecoveryRound(run); });
}

void simulation::AskPlace(const std::shared_ptr<recovery_run>& run,
                          const target_incarnation& target) {
  bool lost = false;
  duration there = TravelTime(Chance(0.1), lost);
  duration back = TravelTime(false, lost);
  if (!lives_.at(target)->alive && ++run->failed[target] >= kMaxFailedAsks) {
    run->decisions.OnUnreachable(target);
  }
  queue_.After(there, [this, run, target, back] {
    sim_target& life = *lives_.at(target);
    if (!life.alive) {
      return;
    }
    start_ledger copy = life.ledger;
    bool mutated = options_.mutation == sim_mutation::kAskWithoutFence;
    start_ledger& ledger = mutated ? copy : life.ledger;
    fence_report report =
        ledger.FenceJob(run->key, jobs_.at(run->key).submission.minted_uptime_ms, queue_.now());
    queue_.After(back, [run, target, report] { run->decisions.OnReport(target, report); });
  });
}

void simulation::OnAnswer(const job_key& key, const job_answer& answer) {
  job& asked = jobs_.at(key);
  switch (answer.outcome) {
    case job_outcome::kComplete:
      ++counts_.complete;
      CheckComplete(asked, answer);
      return;
    case job_outcome::kFailedNotRun:
      ++counts_.not_run;
      asked.not_run_told = true;
      if (asked.started > 0) {
        Violate(absl::StrCat("'not run' of a job that ran: ", ToString(key), " reason ",
                             answer.reason));
      }
      return;
    case job_outcome::kFailedMayHaveRun:
      ++counts_.may_have_run;
      if (!answer.results.empty()) {
        Violate("a failed job with a partial answer");
      }
      return;
  }
}

void simulation::CheckComplete(const job& asked, const job_answer& answer) {
  if (answer.results.size() != asked.submission.tasks.size()) {
    Violate("a partial answer called complete");
    return;
  }
  for (uint32_t index = 0; index < answer.results.size(); ++index) {
    task_key key{.job = asked.submission.key, .index = index};
    auto start = starts_.find(key);
    bool is_right = start != starts_.end() && start->second.completed &&
                    answer.results[index].index == index &&
                    answer.results[index].body == BodyOf(key, start->second.target);
    if (!is_right) {
      Violate(absl::StrCat("a complete answer with a wrong result: ", ToString(key.job)));
    }
  }
}

simulation::entry_pointer simulation::RandomEntry() {
  entry_pointer entry = entries_[Below(kEntries)];
  return entry->alive ? entry : nullptr;
}

simulation::entry_pointer simulation::EntryOf(entry_incarnation incarnation) {
  auto found = std::ranges::find_if(entries_, [&](const entry_pointer& entry) {
    return entry->self == incarnation && entry->alive;
  });
  return found == entries_.end() ? nullptr : *found;
}

std::string simulation::BodyOf(const task_key& key, const target_incarnation& target) const {
  return absl::StrCat(ToString(key.job), "/", key.index, "@", ToString(target));
}

}  // namespace wagtail
