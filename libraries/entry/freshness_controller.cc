#include "entry/freshness_controller.h"

#include <utility>

#include "logging/logging.h"
#include "membership/voter_step.h"
#include "rpc/freshness_codec.h"

namespace wagtail {

namespace {

constexpr duration kAskTimeout = std::chrono::milliseconds(800);

}  // namespace

freshness_controller::freshness_controller(parts parts, const freshness_settings& settings)
    : parts_(parts), decisions_(parts.self, settings) {}

void freshness_controller::OnRead(instant read_started, const table_changes& changes) {
  decisions_.OnTableRead(read_started, changes, MonotonicNow());
  for (const auto& [name, known] : parts_.entries.records()) {
    if (known.row.has_value()) {
      NoteStoppedLives(*known.row);
    }
  }
  AdoptConfiguration();
}

void freshness_controller::NoteStoppedLives(const entry_row& row) {
  for (entry_incarnation ended : StoppedLives(row)) {
    decisions_.OnEntryStopped(ended, MonotonicNow());
  }
}

void freshness_controller::AdoptConfiguration() {
  const guarded_row& row = decisions_.rows().configuration;
  if (row.revision > parts_.configuration.revision() && !row.text.empty()) {
    parts_.configuration.TakeOver(row.text, row.revision);
  }
}

void freshness_controller::Tick() {
  for (const outgoing_question& question : decisions_.OnTick(MonotonicNow())) {
    Ask(question);
  }
  StepVoters();
}

void freshness_controller::Ask(const outgoing_question& question) {
  const entry_registry::record* known = parts_.entries.Find(question.to.name);
  bool is_there = known != nullptr && known->row.has_value() &&
                  known->row->incarnation == question.to.incarnation;
  if (!is_there) {
    return;
  }
  auto request = parts_.peers.PeerAt(known->row->rpc_address).evidenceRequest();
  Write(question.question, request.initQuestion());
  auto bounded =
      parts_.loop.timer().timeoutAfter(kAskTimeout.count() * kj::MICROSECONDS, request.send());
  auto answered = bounded.then([this, question](auto&& response) {
    decisions_.OnPeerAnswer(question, Read(response.getEvidence()), MonotonicNow());
    AdoptConfiguration();
  });
  parts_.loop.Detach(kj::mv(answered), [](kj::Exception&& /*error*/) {});
}

peer_answer freshness_controller::OnPeerQuestion(const peer_question& question) {
  peer_answer answer = decisions_.OnPeerQuestion(question, MonotonicNow());
  AdoptConfiguration();
  return answer;
}

void freshness_controller::OnTargetConfirmed(const target_incarnation& target, uint64_t version) {
  decisions_.tracker().OnTargetConfirmed(target, version);
}

void freshness_controller::OnTargets(std::span<const target_incarnation> announced) {
  decisions_.tracker().OnTargets(announced);
}

std::optional<duration> freshness_controller::Age() const {
  bool is_held = parts_.configuration.revision() == decisions_.rows().configuration.revision;
  return is_held ? decisions_.evidence().Age(MonotonicNow()) : std::nullopt;
}

bool freshness_controller::IsInForce() const {
  return decisions_.tracker().IsInForce(version(), MonotonicNow());
}

std::vector<missing_party> freshness_controller::Missing() const {
  return decisions_.tracker().Missing(version(), MonotonicNow());
}

std::optional<entry_incarnation> freshness_controller::ServingLife(std::string_view name) const {
  const entry_registry::record* known = parts_.entries.Find(name);
  bool is_serving =
      known != nullptr && known->row.has_value() && known->row->state == entry_state::kServing;
  return is_serving ? std::optional(known->row->incarnation) : std::nullopt;
}

void freshness_controller::StepVoters() {
  std::optional<voter_set> next = NextVoters(decisions_.voters(), parts_.entries);
  if (!next.has_value() || !decisions_.MayChangeVoters() || step_under_way_) {
    return;
  }
  step_under_way_ = true;
  table_transaction step;
  step.conditions.push_back(
      {.key = std::string(kVotersKey), .revision = decisions_.rows().voters.revision});
  step.writes.push_back({.key = std::string(kVotersKey), .value = next->Serialise()});
  parts_.writer.Post([this, step = std::move(step)] {
    absl::StatusOr<uint64_t> committed = parts_.platform_table.Commit(step);
    // Another entry's step is no error; the next read shows what the set is now.
    LogFact(log_level::kInfo, "voters_step", {{"committed", committed.ok() ? "yes" : "no"}});
    parts_.loop.Post([this] { step_under_way_ = false; });
  });
}

}  // namespace wagtail
