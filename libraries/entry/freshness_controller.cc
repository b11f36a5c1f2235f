#include "entry/freshness_controller.h"

#include <algorithm>
#include <utility>

#include "logging/logging.h"
#include "membership/voter_step.h"

namespace wagtail {

namespace {

constexpr duration kAskTimeout = std::chrono::milliseconds(800);

uint64_t RoundedUpMs(duration age) {
  return static_cast<uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(age).count());
}

}  // namespace

freshness_controller::freshness_controller(parts parts, const freshness_settings& settings)
    : parts_(parts), poll_(settings), tracker_(settings), settings_(settings) {}

uint64_t freshness_controller::version() const {
  return std::max(parts_.configuration.revision(), voters_revision_);
}

void freshness_controller::OnRead(instant read_started,
                                  const std::optional<table_row>& configuration,
                                  const std::optional<table_row>& voters) {
  if (voters.has_value() && voters->value.has_value()) {
    TakeOverVoters(*voters->value, voters->revision);
  }
  bool is_readable = !configuration.has_value() || !configuration->value.has_value() ||
                     parts_.configuration.TakeOver(*configuration->value, configuration->revision);
  if (!is_readable) {
    return;  // something newer exists that this build can't read: nothing here is fresh
  }
  evidence_.OnDirectRead(read_started, version());
  NoteVersion();
}

void freshness_controller::TakeOverVoters(const std::string& text, uint64_t revision) {
  if (revision <= voters_revision_) {
    return;
  }
  absl::StatusOr<voter_set> parsed = voter_set::Parse(text);
  if (!parsed.ok()) {
    LogFact(log_level::kError, "voters_unreadable", {{"error", MessageOf(parsed.status())}});
    return;
  }
  voters_ = *std::move(parsed);
  voters_text_ = text;
  voters_revision_ = revision;
}

void freshness_controller::NoteVersion() {
  instant now = MonotonicNow();
  tracker_.OnVersion(version(), voters_, now);
  tracker_.OnVoterConfirmed(parts_.self, version(), now);
}

void freshness_controller::OnTargetConfirmed(const target_incarnation& target, uint64_t version) {
  tracker_.OnTargetConfirmed(target, version);
}

void freshness_controller::OnTargets(std::span<const target_incarnation> announced) {
  tracker_.OnTargets(announced);
}

void freshness_controller::Report(uint64_t known_version, wire::Evidence::Builder out) const {
  instant now = MonotonicNow();
  out.setIncarnation(parts_.self.nonce);
  out.setVersion(version());
  std::optional<duration> age = evidence_.Age(now);
  out.setHasAge(age.has_value());
  out.setAgeMs(RoundedUpMs(age.value_or(duration::zero())));
  std::optional<duration> own_age = evidence_.OwnReadAge(now);
  out.setHasOwnReadAge(own_age.has_value());
  out.setOwnReadAgeMs(RoundedUpMs(own_age.value_or(duration::zero())));
  if (known_version >= version()) {
    return;
  }
  std::string record = Serialize(parts_.configuration.record());
  out.initConfiguration().setValue({record.c_str(), record.size()});
  out.getConfiguration().setRevision(parts_.configuration.revision());
  out.initVoters().setValue({voters_text_.c_str(), voters_text_.size()});
  out.getVoters().setRevision(voters_revision_);
}

void freshness_controller::Tick() {
  AskVoters();
  StepVoters();
}

void freshness_controller::AskVoters() {
  instant now = MonotonicNow();
  if (poll_.IsDue(evidence_, now)) {
    poll_number_ = poll_.Begin(now);
  }
  for (const voter& member : voters_.members()) {
    const entry_registry::record* known = parts_.entries.Find(member.name);
    bool is_reachable = member.incarnation != parts_.self && known != nullptr &&
                        known->row.has_value() && known->row->incarnation == member.incarnation;
    if (!is_reachable) {
      continue;
    }
    instant asked_at = MonotonicNow();
    auto request = parts_.peers.PeerAt(known->row->rpc_address).evidenceRequest();
    request.setKnownVersion(version());
    auto bounded =
        parts_.loop.timer().timeoutAfter(kAskTimeout.count() * kj::MICROSECONDS, request.send());
    auto answered = bounded.then([this, asked_at, poll = poll_number_](auto&& response) {
      OnPeerEvidence(asked_at, poll, response.getEvidence());
    });
    parts_.loop.Detach(kj::mv(answered), [](kj::Exception&& /*error*/) {});
  }
  // A sole voter is a majority of itself.
  if (auto begun = poll_.Outcome(parts_.self, evidence_, voters_, now); begun.has_value()) {
    evidence_.OnMajority(*begun, version());
  }
}

void freshness_controller::OnPeerEvidence(instant asked_at, uint64_t poll,
                                          wire::Evidence::Reader told) {
  if (told.getVoters().getRevision() > 0) {
    TakeOverVoters(told.getVoters().getValue().cStr(), told.getVoters().getRevision());
  }
  if (told.getConfiguration().getRevision() > 0) {
    parts_.configuration.TakeOver(told.getConfiguration().getValue().cStr(),
                                  told.getConfiguration().getRevision());
  }
  entry_incarnation voter{.nonce = told.getIncarnation()};
  instant now = MonotonicNow();
  NoteVersion();
  tracker_.OnVoterConfirmed(voter, told.getVersion(), now);
  if (version() < told.getVersion()) {
    return;  // its rows did not come with the answer: the next question brings them
  }
  poll_answer answer{.voter = voter,
                     .version = told.getVersion(),
                     .age = std::nullopt,
                     .own_read_age = std::nullopt};
  if (told.getHasAge()) {
    answer.age = std::chrono::milliseconds(told.getAgeMs());
    evidence_.OnAnswer(asked_at, *answer.age, version());
  }
  if (told.getHasOwnReadAge()) {
    answer.own_read_age = std::chrono::milliseconds(told.getOwnReadAgeMs());
  }
  poll_.OnAnswer(poll, answer);
  if (auto begun = poll_.Outcome(parts_.self, evidence_, voters_, now); begun.has_value()) {
    evidence_.OnMajority(*begun, version());
  }
}

void freshness_controller::StepVoters() {
  std::optional<voter_set> next = NextVoters(voters_, parts_.entries);
  bool may_step = voters_.empty() || tracker_.HasMajority(voters_revision_);
  if (!next.has_value() || !may_step || step_under_way_) {
    return;
  }
  step_under_way_ = true;
  table_transaction step;
  step.conditions.push_back({.key = std::string(kVotersKey), .revision = voters_revision_});
  step.writes.push_back({.key = std::string(kVotersKey), .value = next->Serialise()});
  parts_.writer.Post([this, step = std::move(step)] {
    absl::StatusOr<uint64_t> committed = parts_.platform_table.Commit(step);
    // Another entry's step is no error; the next read shows what the set is now.
    LogFact(log_level::kInfo, "voters_step", {{"committed", committed.ok() ? "yes" : "no"}});
    parts_.loop.Post([this] { step_under_way_ = false; });
  });
}

}  // namespace wagtail
