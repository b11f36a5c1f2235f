#include <algorithm>
#include <chrono>
#include <memory>

#include "tests/freshness/deployment_model.h"

namespace wagtail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLinksPerDaemon = 3;
const duration kLongestStartGap = milliseconds(200);
const duration kLongestStartPause = seconds(2);

configuration ParseConfiguration(const std::string& text) {
  configuration result;
  if (!text.empty()) {
    result.leaving_failure_domains.insert(text);
  }
  return result;
}

}  // namespace

void deployment_model::StartDaemon(std::size_t index) {
  auto& daemon = daemons_[index];
  daemon.gate =
      std::make_unique<start_gate>("t" + std::to_string(index), daemon.failure_domain, settings_);
  ++daemon.life;
  daemon.questions = daemon_questions(settings_);
  daemon.links.clear();
  for (std::size_t i = 0; i < std::min(kLinksPerDaemon, entries_.size()); ++i) {
    daemon.links.push_back((index + i) % entries_.size());
  }
  network_.After(daemon.node, AnyUpTo(settings_.period), [this, index] { TickDaemon(index); });
  TryStart(index);
}

void deployment_model::TickDaemon(std::size_t index) {
  auto& daemon = daemons_[index];
  duration gap = settings_.period + AnyUpTo(kTimerDelay);
  network_.After(daemon.node, gap, [this, index] { TickDaemon(index); });
  for (std::size_t link : daemon.questions.OnTick(daemon.links.size())) {
    std::size_t at = daemon.links[link];
    node_id from = daemon.node;
    node_id to = entries_[at].node;
    instant asked_at = network_.ClockOf(from);
    uint64_t life = daemon.life;
    uint64_t have = daemon.gate->version();
    network_.Send(from, to, [=, this] {
      if (!IsUp(at)) {
        return;
      }
      auto& logic = *entries_[at].logic;
      auto answer =
          logic.OnDaemonQuestion({"t" + std::to_string(index), 1}, have, Now(entries_[at]));
      network_.Send(to, from, [=, this] {
        if (daemons_[index].life == life) {
          OnDaemonAnswer(index, link, asked_at, answer);
        }
      });
    });
  }
}

void deployment_model::OnDaemonAnswer(std::size_t index, std::size_t link, instant asked_at,
                                      const peer_answer& answer) {
  auto& daemon = daemons_[index];
  if (IsFault(wiring_fault::kDateAnswersAtReceipt)) {
    asked_at = network_.ClockOf(daemon.node);
  }
  uint64_t before = daemon.gate->version();
  if (answer.rows) {
    daemon.gate->OnConfiguration(ParseConfiguration(answer.rows->configuration.text),
                                 answer.rows->version());
  }
  Require(daemon.gate->version() >= before, "a version went back");
  if (!answer.evidence.age) {
    return;
  }
  auto use = daemon.gate->OnAnswer(asked_at, *answer.evidence.age, answer.evidence.version);
  if (use == answer_use::kTaken) {
    duration under_way = network_.ClockOf(daemon.node) - asked_at;
    daemon.questions.OnAnswer(link, *answer.evidence.age + under_way);
  }
}

void deployment_model::TryStart(std::size_t index) {
  auto& daemon = daemons_[index];
  duration gap = duration(1) + AnyUpTo(kLongestStartGap);
  network_.After(daemon.node, gap, [this, index] { TryStart(index); });
  auto refusal = daemon.gate->Check(network_.ClockOf(daemon.node));
  if (refusal) {
    counts_.stale_refusals += refusal == start_refusal::kStale ? 1 : 0;
    return;
  }
  uint64_t held = daemon.gate->version();
  if (!IsFault(wiring_fault::kCheckBeforeAPause)) {
    OnStart(held);
    return;
  }
  network_.After(daemon.node, AnyUpTo(kLongestStartPause), [this, held] { OnStart(held); });
}

void deployment_model::OnStart(uint64_t held_version) {
  ++counts_.starts;
  // An operator may ask any entry at any moment, this one included.
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
    if (IsUp(entry)) {
      ClaimInForce(entry);
    }
  }
  Require(held_version >= claimed_, "a task started against a version said to be in force");
  auto newer = committed_.upper_bound(held_version);
  if (newer == committed_.end()) {
    return;
  }
  instant shown = newer->second;
  for (auto poll = stretched_.begin(); poll != stretched_.upper_bound(held_version); ++poll) {
    shown = std::max(shown, poll->second);
  }
  constexpr int64_t kMillion = 1'000'000;
  duration slowest(settings_.limit.count() * kMillion / (kMillion - kClockDeviationPpm));
  Require(network_.real_now() <= shown + slowest + milliseconds(1),
          "a task started past the limit after a newer version was committed");
}

void deployment_model::Require(bool holds, const std::string& what) {
  if (!holds && !violation_) {
    violation_ = what;
  }
}

}  // namespace wagtail
