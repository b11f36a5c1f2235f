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
constexpr duration kIdLifetime = seconds(60);
constexpr duration kTableReadInterval = milliseconds(500);
constexpr duration kHeartbeatTimeout = seconds(3);
constexpr size_t kMaxViolations = 1;
constexpr int kMaxFailedQueries = 5;
const std::string kService = "court-control";

std::string TargetName(size_t index) { return absl::StrCat("t", index); }

}  // namespace

simulation::simulation(sim_options options)
    : options_(options), random_(options.seed), domain_leaving_(kDomains, false) {
  entries_.resize(kEntries);
  targets_.resize(kTargets);
  for (size_t index = 0; index < kTargets; ++index) {
    StartTarget(index);
  }
  for (size_t index = 0; index < kEntries; ++index) {
    StartEntry(index);
  }
  queue_.After(seconds(1), [this] { NewJob(); });
  queue_.After(seconds(2), [this] { InjectFault(); });
}

void simulation::Run() {
  while (queue_.count() < options_.events && violations_.size() < kMaxViolations) {
    if (!queue_.RunNext()) {
      return;
    }
  }
}

bool simulation::RandomBool(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

uint64_t simulation::RandomBelow(uint64_t bound) {
  return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random_);
}

duration simulation::RandomDuration(duration min, duration max) {
  return duration(std::uniform_int_distribution<int64_t>(min.count(), max.count())(random_));
}

void simulation::ReportViolation(const std::string& what) {
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
    queue_.After(RandomDuration(milliseconds(1), milliseconds(300)), [this, entry, changes] {
      RunOnEntry(entry, [this, entry, changes] {
        for (const target_event& event : entry->registry.OnChanges(changes)) {
          if (event.previous.has_value()) {
            entry->dispatch.RemoveTarget(event.previous->incarnation, queue_.now());
          }
          if (event.kind == row_event_kind::kAdded || event.kind == row_event_kind::kReplaced) {
            const target_row& row = *event.row;
            entry->dispatch.AddTarget({.incarnation = row.incarnation,
                                       .service = row.service,
                                       .failure_domain = row.failure_domain,
                                       .slots = row.slots,
                                       .accelerator = ""},
                                      entry->registry.Find(event.name)->revision, queue_.now());
            entry->dispatch.OnLinkLost(row.incarnation, queue_.now());
            Connect(entry, row.incarnation);
          }
          ExecuteActions(entry);
        }
      });
    });
  }
  queue_.After(kTableReadInterval, [this, entry] { ReadTable(entry); });
}

// ---- processes ----

void simulation::StartEntry(size_t index) {
  uint64_t nonce = next_nonce_++;
  entries_[index] =
      std::make_shared<sim_entry>(nonce, options_.seed + nonce, kIdLifetime, queue_.now());
  ReadTable(entries_[index]);
  EntryTick(entries_[index]);
}

void simulation::StartTarget(size_t index) {
  std::optional<recorded_target_row> previous;
  for (const table_row& row : table_log_) {
    if (row.key == TargetKey(TargetName(index))) {
      previous = {.row = *ParseTargetRow(row.key, *row.value), .revision = row.revision};
    }
  }
  target_row desired;
  desired.incarnation.target = TargetName(index);
  desired.service = kService;
  desired.failure_domain = absl::StrCat("d", index % kDomains);
  desired.address = "127.0.0.1:1";
  desired.slots = 2;
  target_row row = *NextAnnouncement(desired, previous);
  WriteRow(row);
  size_t domain = index % kDomains;
  targets_[index] = std::make_shared<sim_target>(
      row, table_revision_, kIdLifetime, [this, domain](instant /*now*/) {
        return domain_leaving_[domain] ? refusal::kLeaving : refusal::kNone;
      });
  incarnations_[row.incarnation] = targets_[index];
}

void simulation::EntryTick(const entry_pointer& entry) {
  if (!entry->alive) {
    return;
  }
  if (!entry->paused) {
    entry->dispatch.Tick(entry->UptimeMs(queue_.now()), queue_.now());
    for (const target_pointer& target : targets_) {
      bool leaving = domain_leaving_[target->row.failure_domain.back() - '0'];
      entry->dispatch.SetAdmitted(target->row.incarnation, !leaving, queue_.now());
    }
    ExecuteActions(entry);
  }
  queue_.After(milliseconds(100), [this, entry] { EntryTick(entry); });
}

void simulation::InjectFault() {
  queue_.After(RandomDuration(milliseconds(50), seconds(2)), [this] { InjectFault(); });
  entry_pointer entry = RandomEntry();
  switch (RandomBelow(12)) {
    case 0: {
      if (entry == nullptr) {
        return;
      }
      ++counts_.entry_kills;
      entry->alive = false;
      auto index = static_cast<size_t>(std::ranges::find(entries_, entry) - entries_.begin());
      queue_.After(RandomDuration(milliseconds(100), seconds(5)),
                   [this, index] { StartEntry(index); });
      return;
    }
    case 1:
    case 2:
      if (entry != nullptr) {
        PauseEntry(entry);
      }
      return;
    case 3:
      KillTarget(RandomBelow(kTargets));
      return;
    case 4:
      if (RandomBool(0.2)) {
        ++counts_.domain_kills;
        size_t domain = RandomBelow(kDomains);
        for (size_t index = domain; index < kTargets; index += kDomains) {
          KillTarget(index);
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
        std::advance(link, static_cast<int64_t>(RandomBelow(entry->links.size())));
        CutLink(entry, link->first);
      }
      return;
  }
}

void simulation::KillTarget(size_t index) {
  target_pointer target = targets_[index];
  if (!target->alive) {
    return;
  }
  ++counts_.target_kills;
  target->alive = false;
  for (const entry_pointer& entry : entries_) {
    CutLink(entry, target->row.incarnation);
  }
  queue_.After(RandomDuration(milliseconds(100), seconds(4)), [this, index] {
    if (table_down_) {
      // The announcement is delayed until the table is available; the target gets no tasks before.
      queue_.After(seconds(1), [this, index] { StartTarget(index); });
      return;
    }
    StartTarget(index);
  });
}

void simulation::PauseEntry(const entry_pointer& entry) {
  if (entry->paused) {
    return;
  }
  ++counts_.entry_pauses;
  entry->paused = true;
  queue_.After(RandomDuration(milliseconds(200), seconds(20)), [this, entry] {
    entry->paused = false;
    std::vector<std::function<void()>> backlog = std::exchange(backlogs_[entry->self.nonce], {});
    for (const auto& callback : backlog) {
      RunOnEntry(entry, callback);
    }
  });
}

void simulation::ToggleLeaving() {
  size_t domain = RandomBelow(kDomains);
  domain_leaving_[domain] = !domain_leaving_[domain];
  counts_.leaves += domain_leaving_[domain] ? 1 : 0;
  for (const target_pointer& target : targets_) {
    if (target->alive) {
      RunQueuedTasks(target);
    }
  }
}

// ---- links ----

void simulation::Connect(const entry_pointer& entry, const target_incarnation& target) {
  auto process = incarnations_.find(target);
  bool is_superseded = entry->registry.Find(target.target) == nullptr ||
                       !entry->registry.Find(target.target)->row.has_value() ||
                       entry->registry.Find(target.target)->row->incarnation != target;
  if (!entry->alive || is_superseded) {
    return;
  }
  sim_entry::link& link = entry->links[target];
  uint64_t generation = ++link.generation;
  connections_[{entry->self.nonce, target}] = {generation, false};
  if (!process->second->alive) {
    queue_.After(milliseconds(400), [this, entry, target] {
      RunOnEntry(entry, [this, entry, target] { Connect(entry, target); });
    });
    return;
  }
  SendSettlement(entry, target, generation, entry->dispatch.Unsettled(target), queued_tasks::kKeep,
                 true);
}

void simulation::CutLink(const entry_pointer& entry, const target_incarnation& target) {
  auto connection = connections_.find({entry->self.nonce, target});
  if (connection == connections_.end() || connection->second.second || !entry->alive) {
    return;
  }
  ++counts_.link_cuts;
  connection->second.second = true;
  uint64_t generation = connection->second.first;
  queue_.After(RandomDuration(milliseconds(1), kHeartbeatTimeout),
               [this, entry, target, generation] {
                 RunOnEntry(entry, [this, entry, target, generation] {
                   sim_entry::link& link = entry->links[target];
                   if (link.generation != generation) {
                     return;
                   }
                   link.up = false;
                   entry->dispatch.OnLinkLost(target, queue_.now());
                   ExecuteActions(entry);
                   Connect(entry, target);
                 });
               });
}

duration simulation::DeliveryDelay(bool cut, bool& lost) {
  lost = false;
  if (!cut) {
    return RandomDuration(milliseconds(1), milliseconds(3));
  }
  lost = RandomBool(0.6);
  ++(lost ? counts_.lost_messages : counts_.late_messages);
  return RandomDuration(milliseconds(1), seconds(8));
}

void simulation::SendToTarget(const entry_pointer& entry, const target_incarnation& target,
                              target_callback callback) {
  bool lost = false;
  duration delay = DeliveryDelay(connections_[{entry->self.nonce, target}].second, lost);
  if (lost) {
    return;
  }
  queue_.After(delay, [this, target, callback = std::move(callback)] {
    const target_pointer& process = incarnations_.at(target);
    if (process->alive) {
      callback(*process);
      RunQueuedTasks(process);
    }
  });
}

void simulation::SendToEntry(const entry_pointer& entry, const target_incarnation& target,
                             uint64_t generation, entry_callback callback) {
  const auto& connection = connections_[{entry->self.nonce, target}];
  bool lost = false;
  duration delay = DeliveryDelay(connection.second || connection.first != generation, lost);
  if (lost) {
    return;
  }
  queue_.After(delay, [this, entry, target, generation, callback = std::move(callback)] {
    RunOnEntry(entry, [this, entry, target, generation, callback] {
      if (entry->links[target].generation != generation) {
        return;  // the message belongs to a closed connection
      }
      callback(*entry);
      ExecuteActions(entry);
    });
  });
}

void simulation::RunOnEntry(const entry_pointer& entry, const std::function<void()>& callback) {
  if (!entry->alive) {
    return;
  }
  if (entry->paused) {
    backlogs_[entry->self.nonce].push_back(callback);
    return;
  }
  callback();
}

// ---- tasks ----

void simulation::ExecuteActions(const entry_pointer& entry) {
  for (auto actions = entry->dispatch.TakeActions(); !actions.empty();
       actions = entry->dispatch.TakeActions()) {
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
  SendToTarget(entry, action.target,
               [this, entry, uptime, generation, request = action.request](sim_target& target) {
                 refusal reason = target.ledger.Accept(request, uptime, queue_.now());
                 if (reason == refusal::kNone) {
                   return;
                 }
                 target_incarnation self = target.row.incarnation;
                 target_load load{.running = target.ledger.running(),
                                  .queued = target.ledger.queued()};
                 SendToEntry(entry, self, generation,
                             [this, self, key = request.key, reason, load](sim_entry& to) {
                               to.dispatch.OnVerdict(self, key, reason, load, queue_.now());
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
  SendToTarget(entry, target, [=, this](sim_target& at) {
    if (is_handshake) {
      uint64_t& session = sessions_[{entry->self.nonce, target}];
      session = std::max(session, generation);
    }
    start_ledger copy = at.ledger;
    bool mutated = options_.mutation == sim_mutation::kSettleWithoutRefusal;
    start_ledger& ledger = mutated ? copy : at.ledger;
    std::vector<task_record> records = ledger.Settle(tasks, queued, queue_.now());
    SendToEntry(entry, target, generation, [=, this](sim_entry& to) {
      for (const task_record& record : records) {
        to.dispatch.OnSettled(target, record, queue_.now());
      }
      if (is_handshake) {
        to.links[target].up = true;
        to.dispatch.OnLinkRestored(target, queue_.now());
      }
    });
  });
}

void simulation::RunQueuedTasks(const target_pointer& target) {
  while (auto next = target->ledger.TakeNext(queue_.now())) {
    const start_request& request = next->request;
    if (next->reason == refusal::kNone) {
      StartTask(target, request);
      continue;
    }
    target_incarnation self = target->row.incarnation;
    SendToOwner(target, request.key,
                [this, self, key = request.key, reason = next->reason](sim_entry& to) {
                  to.dispatch.OnVerdict(self, key, reason, {}, queue_.now());
                });
  }
  target->ledger.Expire(queue_.now());
}

void simulation::StartTask(const target_pointer& target, const start_request& request) {
  ++counts_.starts;
  auto [record, is_first] =
      starts_.try_emplace(request.key, start_record{.target = target->row.incarnation});
  if (!is_first) {
    ReportViolation(
        absl::StrCat("task started twice: ", ToString(request.key.job), "/", request.key.index));
  }
  job& owner = jobs_.at(request.key.job);
  ++owner.started;
  if (owner.answered_not_run) {
    ReportViolation(absl::StrCat("task started after the job was answered as not run: ",
                                 ToString(request.key.job)));
  }
  duration run_time = RandomBool(0.02) ? RandomDuration(seconds(1), seconds(5))
                                       : RandomDuration(milliseconds(5), milliseconds(300));
  queue_.After(run_time, [this, target, request, run_time] { EndTask(target, request, run_time); });
}

void simulation::EndTask(const target_pointer& target, const start_request& request,
                         duration run_time) {
  if (!target->alive) {
    return;
  }
  task_result result;
  result.key = request.key;
  result.completed = !RandomBool(0.01);
  result.body = ExpectedBody(request.key, target->row.incarnation);
  result.run_time = run_time;
  starts_.at(request.key).completed = result.completed;
  target->ledger.Finish(result, queue_.now());
  target_incarnation self = target->row.incarnation;
  target_load load{.running = target->ledger.running(), .queued = target->ledger.queued()};
  SendToOwner(target, request.key, [this, self, result, load](sim_entry& to) {
    to.dispatch.OnResult(self, result, load, queue_.now());
  });
  RunQueuedTasks(target);
}

void simulation::SendToOwner(const target_pointer& target, const task_key& key,
                             entry_callback callback) {
  entry_pointer owner = EntryOf(key.job.owner);
  const target_incarnation& self = target->row.incarnation;
  if (owner != nullptr) {
    SendToEntry(owner, self, sessions_[{owner->self.nonce, self}], std::move(callback));
  }
}

// ---- callers ----

void simulation::NewJob() {
  queue_.After(RandomDuration(milliseconds(5), milliseconds(200)), [this] { NewJob(); });
  entry_pointer entry = RandomEntry();
  if (entry == nullptr || entry->paused || entry->registry.revision() == 0) {
    return;
  }
  job new_job;
  job_submission& submission = new_job.submission;
  submission.key = {.owner = entry->self, .sequence = ++entry->sequence};
  submission.team = "club";
  submission.digest = RandomBelow(1'000'000) + 1;
  submission.minted_uptime_ms = entry->UptimeMs(queue_.now());
  submission.registry_revision = entry->registry.revision();
  submission.needs = {{.service = kService, .requirements = {}}};
  uint64_t tasks = RandomBool(0.05) ? 20 : 1 + RandomBelow(4);
  for (uint64_t index = 0; index < tasks; ++index) {
    auto stage = static_cast<uint32_t>(RandomBool(0.2) ? 1 : 0);
    submission.tasks.push_back(
        {.service = kService, .body = "x", .stage = stage, .timeout = seconds(10)});
  }
  ++counts_.jobs;
  job_key key = submission.key;
  jobs_[key] = std::move(new_job);
  duration delay = RandomBool(0.05) ? RandomDuration(seconds(1), seconds(70)) : duration::zero();
  queue_.After(delay, [this, entry, key] { SubmitAt(entry, key, 3); });
}

void simulation::SubmitAt(const entry_pointer& entry, const job_key& key, int tries_left) {
  if (tries_left > 0 && RandomBool(0.5)) {
    queue_.After(RandomDuration(milliseconds(1), seconds(15)), [this, key, tries_left] {
      if (entry_pointer other = RandomEntry(); other != nullptr) {
        SubmitAt(other, key, tries_left - 1);
      }
    });
  }
  if (!entry->alive || entry->paused) {
    return;  // the caller gets no reply
  }
  entry_pointer owner = EntryOf(key.owner);
  bool owner_answers = owner != nullptr && !owner->paused && (owner == entry || RandomBool(0.9));
  if (!owner_answers) {
    Recover(entry, key);
    return;
  }
  job_submission submission = jobs_.at(key).submission;
  submission.deadline = queue_.now() + RandomDuration(milliseconds(50), seconds(10));
  submit_outcome outcome = owner->dispatch.Submit(
      std::move(submission), [this, key](const job_answer& answer) { OnAnswer(key, answer); },
      owner->UptimeMs(queue_.now()), queue_.now());
  counts_.joins += outcome == submit_outcome::kJoined ? 1 : 0;
  if (RandomBool(0.05)) {
    owner->dispatch.Cancel(key, queue_.now());
    ++counts_.cancels;
  }
  ExecuteActions(owner);
}

void simulation::Recover(const entry_pointer& entry, const job_key& key) {
  ++counts_.recoveries;
  const job_submission& submission = jobs_.at(key).submission;
  possible_targets possible =
      PossibleTargets(entry->registry, kService, submission.registry_revision);
  recovery_targets targets;
  std::ranges::transform(possible.present, std::back_inserter(targets.present),
                         &target_row::incarnation);
  targets.records_lost =
      !possible.CanProveNotRun() && options_.mutation != sim_mutation::kIgnoreLostRecords;
  auto run = std::make_shared<recovery_run>(recovery_run{
      .key = key,
      .entry = entry,
      .state = recovery(submission.digest, static_cast<uint32_t>(submission.tasks.size()), targets),
      .deadline = queue_.now() + seconds(10),
      .failed = {}});
  RecoveryRound(run);
}

void simulation::RecoveryRound(const std::shared_ptr<recovery_run>& run) {
  if (!run->entry->alive) {
    return;
  }
  std::optional<job_answer> answer = run->state.FinalAnswer();
  if (answer.has_value() || queue_.now() >= run->deadline) {
    OnAnswer(run->key, answer.value_or(run->state.AnswerAtDeadline()));
    return;
  }
  for (const target_incarnation& target : run->state.TargetsToQuery()) {
    QueryTarget(run, target);
  }
  queue_.After(milliseconds(100), [this, run] { RecoveryRound(run); });
}

void simulation::QueryTarget(const std::shared_ptr<recovery_run>& run,
                             const target_incarnation& target) {
  bool lost = false;
  duration request_delay = DeliveryDelay(RandomBool(0.1), lost);
  duration reply_delay = DeliveryDelay(false, lost);
  if (!incarnations_.at(target)->alive && ++run->failed[target] >= kMaxFailedQueries) {
    run->state.OnUnreachable(target);
  }
  queue_.After(request_delay, [this, run, target, reply_delay] {
    sim_target& process = *incarnations_.at(target);
    if (!process.alive) {
      return;
    }
    start_ledger copy = process.ledger;
    bool mutated = options_.mutation == sim_mutation::kQueryWithoutFence;
    start_ledger& ledger = mutated ? copy : process.ledger;
    fence_report report =
        ledger.FenceJob(run->key, jobs_.at(run->key).submission.minted_uptime_ms, queue_.now());
    queue_.After(reply_delay, [run, target, report] { run->state.OnReport(target, report); });
  });
}

void simulation::OnAnswer(const job_key& key, const job_answer& answer) {
  job& submitted = jobs_.at(key);
  switch (answer.outcome) {
    case job_outcome::kComplete:
      ++counts_.complete;
      CheckComplete(submitted, answer);
      return;
    case job_outcome::kFailedNotRun:
      ++counts_.not_run;
      submitted.answered_not_run = true;
      if (submitted.started > 0) {
        ReportViolation(absl::StrCat("'not run' answered for a job that ran: ", ToString(key),
                                     " reason ", answer.reason));
      }
      return;
    case job_outcome::kFailedMayHaveRun:
      ++counts_.may_have_run;
      if (!answer.results.empty()) {
        ReportViolation("answer of a failed job has partial results");
      }
      return;
  }
}

void simulation::CheckComplete(const job& submitted, const job_answer& answer) {
  if (answer.results.size() != submitted.submission.tasks.size()) {
    ReportViolation("complete answer has the wrong number of results");
    return;
  }
  for (uint32_t index = 0; index < answer.results.size(); ++index) {
    task_key key{.job = submitted.submission.key, .index = index};
    auto start = starts_.find(key);
    bool is_correct = start != starts_.end() && start->second.completed &&
                      answer.results[index].index == index &&
                      answer.results[index].body == ExpectedBody(key, start->second.target);
    if (!is_correct) {
      ReportViolation(absl::StrCat("complete answer has a wrong result: ", ToString(key.job)));
    }
  }
}

simulation::entry_pointer simulation::RandomEntry() {
  entry_pointer entry = entries_[RandomBelow(kEntries)];
  return entry->alive ? entry : nullptr;
}

simulation::entry_pointer simulation::EntryOf(entry_incarnation incarnation) {
  auto found = std::ranges::find_if(entries_, [&](const entry_pointer& entry) {
    return entry->self == incarnation && entry->alive;
  });
  return found == entries_.end() ? nullptr : *found;
}

std::string simulation::ExpectedBody(const task_key& key, const target_incarnation& target) const {
  return absl::StrCat(ToString(key.job), "/", key.index, "@", ToString(target));
}

}  // namespace wagtail
