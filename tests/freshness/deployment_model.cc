#include "tests/freshness/deployment_model.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "membership/voter_step.h"

namespace wagtail {

namespace {

using std::chrono::milliseconds;

constexpr uint64_t kTicksPerVoterStep = 2;
constexpr std::size_t kPollsKept = 64;
constexpr std::size_t kFailureDomains = 3;

std::string DomainOf(std::size_t index) { return "d" + std::to_string(index % kFailureDomains); }

freshness_settings ModelSettings() {
  freshness_settings settings;
  settings.clock_deviation_ppm = kClockDeviationPpm;
  return settings;
}

}  // namespace

deployment_model::deployment_model(const model_options& options)
    : options_(options),
      settings_(ModelSettings()),
      network_(options.seed, kClockDeviationPpm, options.quality) {
  table_node_ = network_.AddNode();
  for (std::size_t i = 0; i < options.entries; ++i) {
    AddEntry("e" + std::to_string(i), DomainOf(i));
  }
  daemons_.resize(options.daemons);
  for (std::size_t i = 0; i < options.daemons; ++i) {
    daemons_[i].node = network_.AddNode();
    daemons_[i].failure_domain = DomainOf(i);
    StartDaemon(i);
  }
}

void deployment_model::AddEntry(const std::string& name, const std::string& failure_domain) {
  entry_process entry;
  entry.node = network_.AddNode();
  entry.self.name = name;
  entry.self.failure_domain = failure_domain;
  entries_.push_back(std::move(entry));
  StartEntry(entries_.size() - 1);
}

void deployment_model::StartEntry(std::size_t index) {
  auto& entry = entries_[index];
  bool keeps_vote = IsFault(wiring_fault::kKeepTheVoteOverARestart) && entry.self.incarnation.nonce;
  if (!keeps_vote) {
    entry.self.incarnation.nonce = ++last_nonce_;
  }
  auto settings = settings_;
  if (IsFault(wiring_fault::kIgnoreClockRates)) {
    settings.clock_deviation_ppm = 0;
  }
  entry.logic = std::make_unique<entry_freshness>(entry.self.incarnation, settings);
  entry.registry = {};
  entry.real_time_of_polls.clear();
  entry.was_registered = false;
  network_.After(entry.node, AnyUpTo(settings_.period), [this, index] { TickEntry(index); });
}

void deployment_model::TickEntry(std::size_t index) {
  auto& entry = entries_[index];
  duration gap = settings_.period + AnyUpTo(kTimerDelay);
  network_.After(entry.node, gap, [this, index] { TickEntry(index); });
  ++entry.ticks;
  Read(index);
  instant now = Now(entry);
  auto questions = entry.logic->OnTick(now);
  if (!questions.empty() && questions.front().poll != 0) {
    entry.last_poll = questions.front().poll;
  }
  entry.real_time_of_polls[now] = network_.real_now();
  if (entry.real_time_of_polls.size() > kPollsKept) {
    entry.real_time_of_polls.erase(entry.real_time_of_polls.begin());
  }
  if (entry.logic->rows().version() == 0) {
    // Nothing known yet: ask an entry named in the settings.
    const auto& peer = entries_[network_.Random(entries_.size())].self;
    questions.push_back({{peer.incarnation, peer.name, ""}, 0, now, {}});
  }
  for (const auto& question : questions) {
    Ask(index, question);
  }
  NoteStretch(index);
  Register(index);
  StepVoters(index);
  ClaimInForce(index);
}

void deployment_model::Read(std::size_t index) {
  auto& entry = entries_[index];
  instant started = Now(entry);
  uint64_t after = entry.registry.revision();
  auto nonce = entry.self.incarnation;
  network_.Send(entry.node, table_node_, [this, index, started, after, nonce] {
    auto changes = table_.Read(after);
    duration delay = network_.real_now() < slow_until_ ? slowness_ : duration::zero();
    network_.After(table_node_, delay, [this, index, started, changes, nonce] {
      network_.Send(table_node_, entries_[index].node, [this, index, started, changes, nonce] {
        if (IsUp(index) && entries_[index].self.incarnation == nonce) {
          OnRead(index, started, changes);
        }
      });
    });
  });
}

void deployment_model::OnRead(std::size_t index, instant started, const table_changes& changes) {
  auto& entry = entries_[index];
  instant now = Now(entry);
  entry.registry.OnChanges(changes);
  entry.logic->OnTableRead(IsFault(wiring_fault::kDateReadsAtTheirEnd) ? now : started, changes,
                           now);
  for (const auto& [name, known] : entry.registry.records()) {
    for (const auto& life : StoppedLives(*known.row)) {
      entry.logic->OnEntryStopped(life, now);
    }
  }
}

void deployment_model::Ask(std::size_t index, const outgoing_question& question) {
  auto address = Address(question.to);
  if (!address || *address == index) {
    return;
  }
  auto asker = entries_[index].self.incarnation;
  node_id from = entries_[index].node;
  node_id to = entries_[*address].node;
  network_.Send(from, to, [this, index, question, asker, from, to, at = *address] {
    if (!IsUp(at)) {
      return;
    }
    auto answer = entries_[at].logic->OnPeerQuestion(question.question, Now(entries_[at]));
    network_.Send(to, from, [this, index, question, asker, answer] {
      if (IsUp(index) && entries_[index].self.incarnation == asker) {
        OnAnswer(index, question, answer);
      }
    });
  });
}

void deployment_model::OnAnswer(std::size_t index, outgoing_question asked,
                                const peer_answer& answer) {
  auto& entry = entries_[index];
  instant now = Now(entry);
  if (IsFault(wiring_fault::kDateAnswersAtReceipt)) {
    asked.asked_at = now;
  }
  if (IsFault(wiring_fault::kCountAnswersToEarlierPolls) && asked.poll != 0) {
    asked.poll = entry.last_poll;
  }
  entry.logic->OnPeerAnswer(asked, answer, now);
  if (IsFault(wiring_fault::kCountAMinority) && asked.poll != 0) {
    ForgeMajority(index, asked);
  }
  NoteStretch(index);
}

void deployment_model::ForgeMajority(std::size_t index, const outgoing_question& asked) {
  auto& logic = *entries_[index].logic;
  for (const auto& member : logic.voters().members()) {
    peer_answer forged{{member.incarnation, 0, std::nullopt, std::nullopt}, std::nullopt};
    logic.OnPeerAnswer(asked, forged, Now(entries_[index]));
  }
}

void deployment_model::NoteStretch(std::size_t index) {
  auto& entry = entries_[index];
  instant now = Now(entry);
  auto age = entry.logic->evidence().Age(now);
  auto own = entry.logic->evidence().OwnReadAge(now);
  if (!age || age == own) {
    return;
  }
  auto poll = entry.real_time_of_polls.find(now - *age);
  if (poll != entry.real_time_of_polls.end()) {
    auto& latest = stretched_[entry.logic->evidence().version()];
    latest = std::max(latest, poll->second);
    ++counts_.stretches;
  }
}

void deployment_model::Register(std::size_t index) {
  auto& entry = entries_[index];
  if (!entry.logic->evidence().OwnReadAge(Now(entry))) {
    return;
  }
  const auto* known = entry.registry.Find(entry.self.name);
  if (known != nullptr && known->row->incarnation == entry.self.incarnation) {
    entry.was_registered = true;
  }
  if (entry.was_registered) {
    return;  // if another has taken the name since, this process is superseded
  }
  auto previous = known == nullptr ? std::nullopt : known->row;
  std::string key = EntryKey(entry.self.name);
  Commit(index, {{{key, known == nullptr ? 0 : known->revision}},
                 {{key, Serialise(NextRegistration(entry.self, previous))}}});
}

void deployment_model::StepVoters(std::size_t index) {
  auto& entry = entries_[index];
  auto own_read_age = entry.logic->evidence().OwnReadAge(Now(entry));
  bool reads = own_read_age && *own_read_age <= settings_.reads_fail_after;
  bool may = entry.logic->MayChangeVoters() || IsFault(wiring_fault::kChangeVotersUnconfirmed);
  if (!reads || !may || entry.ticks % kTicksPerVoterStep != 0) {
    return;
  }
  auto next = NextVoters(entry.logic->voters(), entry.registry);
  if (next && IsFault(wiring_fault::kChangeTwoVotersAtOnce)) {
    auto second = NextVoters(*next, entry.registry);
    next = second ? second : next;
  }
  if (next) {
    uint64_t present = entry.logic->rows().voters.revision;
    Commit(index,
           {{{std::string(kVotersKey), present}}, {{std::string(kVotersKey), next->Serialise()}}});
  }
}

void deployment_model::Commit(std::size_t index, const table_transaction& transaction) {
  auto nonce = entries_[index].self.incarnation;
  node_id node = entries_[index].node;
  network_.Send(node, table_node_, [this, index, transaction, nonce, node] {
    auto revision = table_.Commit(transaction);
    if (!revision) {
      return;
    }
    OnCommitted(transaction, *revision);
    network_.Send(table_node_, node, [this, index, nonce] {
      if (IsUp(index) && entries_[index].self.incarnation == nonce) {
        Read(index);
      }
    });
  });
}

void deployment_model::OnCommitted(const table_transaction& transaction, uint64_t revision) {
  for (const auto& write : transaction.writes) {
    if (write.key == kConfigurationRowKey || write.key == kVotersKey) {
      committed_[revision] = network_.real_now();
      auto& count = write.key == kVotersKey ? counts_.voter_steps : counts_.commits;
      ++count;
    }
  }
}

void deployment_model::ClaimInForce(std::size_t index) {
  auto& entry = entries_[index];
  const auto& tracker = entry.logic->tracker();
  instant now = Now(entry);
  for (auto step = committed_.upper_bound(claimed_); step != committed_.end(); ++step) {
    bool is_in_force = IsFault(wiring_fault::kSkipWaitingForTheLapse)
                           ? tracker.HasMajority(step->first)
                           : tracker.IsInForce(step->first, now);
    if (is_in_force) {
      claimed_ = step->first;
      ++counts_.claims;
    }
  }
}

std::optional<std::size_t> deployment_model::Address(const voter& wanted) const {
  auto nonce = [](const entry_process& entry) { return entry.self.incarnation; };
  auto found = std::ranges::find(entries_, wanted.incarnation, nonce);
  if (found == entries_.end()) {
    auto name = [](const entry_process& entry) { return entry.self.name; };
    found = std::ranges::find(entries_, wanted.name, name);
  }
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return std::distance(entries_.begin(), found);
}

}  // namespace wagtail
