#include "freshness/entry_freshness.h"

#include <utility>

#include "base/verify.h"

namespace wagtail {

namespace {

/// Number of no poll: the question is only after a confirmation.
constexpr uint64_t kNoPoll = 0;

}  // namespace

entry_freshness::entry_freshness(entry_incarnation self, const freshness_settings& settings)
    : self_(self), settings_(settings), poll_(settings), tracker_(settings) {}

void entry_freshness::OnTableRead(instant started, const table_changes& changes, instant now) {
  guarded_rows merged = rows_;
  merged.Merge(changes);
  Adopt(merged, now);
  evidence_.OnDirectRead(started, rows_.version());
}

std::vector<outgoing_question> entry_freshness::OnTick(instant now) {
  if (poll_.IsDue(evidence_, now)) {
    uint64_t poll = poll_.Begin(now);
    TryMajority(now);  // a single voter is its own majority
    return AskVoters(poll, now);
  }
  if (!IsOwnVersionConfirmed()) {
    return AskVoters(kNoPoll, now);
  }
  return {};
}

peer_answer entry_freshness::OnPeerQuestion(const peer_question& question, instant now) {
  if (question.rows) {
    Adopt(*question.rows, now);
  }
  return Answer(question.have, now);
}

void entry_freshness::OnPeerAnswer(const outgoing_question& asked, const peer_answer& answer,
                                   instant now) {
  if (answer.rows) {
    Adopt(*answer.rows, now);
  }
  const poll_answer& evidence = answer.evidence;
  tracker_.OnVoterConfirmed(evidence.voter, evidence.version, now);
  if (evidence.version > rows_.version()) {
    return;  // without the rows the answer's evidence is for something this entry does not hold
  }
  if (evidence.age) {
    evidence_.OnAnswer(asked.asked_at, *evidence.age, rows_.version());
  }
  poll_.OnAnswer(asked.poll, evidence);
  TryMajority(now);
}

peer_answer entry_freshness::OnDaemonQuestion(const target_incarnation& target, uint64_t have,
                                              instant now) {
  tracker_.OnTargetConfirmed(target, have);
  return Answer(have, now);
}

void entry_freshness::OnEntryStopped(entry_incarnation entry, instant now) {
  tracker_.OnVoterStopped(entry, now);
}

bool entry_freshness::MayChangeVoters() const {
  if (rows_.voters.revision == 0) {
    return true;
  }
  return voters_status_.ok() && tracker_.HasMajority(rows_.voters.revision);
}

void entry_freshness::Adopt(const guarded_rows& rows, instant now) {
  uint64_t before = rows_.version();
  rows_.Merge(rows);
  VERIFY(rows_.version() >= before);
  if (rows_.version() > before) {
    OnNewRows(now);
  }
}

void entry_freshness::OnNewRows(instant now) {
  rows_since_ = now;
  voters_ = voter_set();
  voters_status_ = absl::OkStatus();
  if (!rows_.voters.text.empty()) {
    auto parsed = voter_set::Parse(rows_.voters.text);
    voters_status_ = parsed.status();
    if (parsed.ok()) {
      voters_ = *std::move(parsed);
    }
  }
  tracker_.OnVersion(rows_.version(), voters_, now);
  tracker_.OnVoterConfirmed(self_, rows_.version(), now);
}

bool entry_freshness::IsOwnVersionConfirmed() const {
  return rows_.version() == 0 || tracker_.HasMajority(rows_.version());
}

std::vector<outgoing_question> entry_freshness::AskVoters(uint64_t poll, instant now) const {
  std::vector<outgoing_question> questions;
  for (const auto& member : voters_.members()) {
    if (member.incarnation == self_) {
      continue;
    }
    peer_question question{rows_.version(), std::nullopt};
    // Most voters read the rows for themselves within a period.
    bool had_time = now - rows_since_ >= settings_.period;
    if (had_time && !tracker_.HasConfirmed(member.incarnation, rows_.version())) {
      question.rows = rows_;
    }
    questions.push_back({member, poll, now, std::move(question)});
  }
  return questions;
}

peer_answer entry_freshness::Answer(uint64_t asker_has, instant now) const {
  peer_answer answer;
  answer.evidence = {self_, rows_.version(), evidence_.Age(now), evidence_.OwnReadAge(now)};
  if (rows_.version() > asker_has) {
    answer.rows = rows_;
  }
  return answer;
}

void entry_freshness::TryMajority(instant now) {
  if (auto begun = poll_.Outcome(self_, evidence_, voters_, now)) {
    evidence_.OnMajority(*begun, rows_.version());
  }
}

}  // namespace wagtail
