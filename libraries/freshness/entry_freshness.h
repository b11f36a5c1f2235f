#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/status/status.h"
#include "base/identifiers.h"
#include "base/time.h"
#include "freshness/freshness_evidence.h"
#include "freshness/freshness_settings.h"
#include "freshness/guarded_rows.h"
#include "freshness/in_force_tracker.h"
#include "freshness/outage_poll.h"
#include "membership/voter_set.h"

/// @file
/// An entry's part in keeping the configuration fresh: reads, polls, answers and confirmations.
///
/// Of each `now`: read the clock after the message has arrived, and before a question is sent.

namespace wagtail {

/// From one entry to another.
struct peer_question {
  uint64_t have = 0;                 ///< version of the asker; the answer brings newer rows
  std::optional<guarded_rows> rows;  ///< of the asker, if the other seems unable to read them
};

/// To another entry or to a target's daemon.
struct peer_answer {
  poll_answer evidence;              ///< of the answerer at the time of the answer
  std::optional<guarded_rows> rows;  ///< if newer than what the asker has
};

/// A question to be sent. What is not in `question` stays with the asker until the answer comes.
struct outgoing_question {
  voter to;
  uint64_t poll = 0;
  instant asked_at;
  peer_question question;
};

/// The state of one entry incarnation. Not safe to use from several threads at once.
class entry_freshness {
 public:
  entry_freshness(entry_incarnation self, const freshness_settings& settings);

  /// A read of the whole table succeeded; late answers are welcome.
  /// @param started when the read was sent off
  /// @param changes rows since the revision that an earlier read had brought
  void OnTableRead(instant started, const table_changes& changes, instant now);

  /// To be called once per settings.period and after each commit of this entry.
  /// @return questions to send to other voters; none while reads succeed and nothing is unconfirmed
  std::vector<outgoing_question> OnTick(instant now);

  /// Another entry asks.
  peer_answer OnPeerQuestion(const peer_question& question, instant now);

  /// @param asked the question as OnTick() gave it
  void OnPeerAnswer(const outgoing_question& asked, const peer_answer& answer, instant now);

  /// A target's daemon asks. Its evidence is `asked_at - answer.evidence.age`.
  /// @param have version whose rows the daemon holds
  peer_answer OnDaemonQuestion(const target_incarnation& target, uint64_t have, instant now);

  /// An entry wrote that it has stopped for good, or an operator vouches for it.
  void OnEntryStopped(entry_incarnation entry, instant now);

  /// @return whether the set of voters may be changed by one member now, on condition that the row
  ///   still has revision rows().voters.revision
  bool MayChangeVoters() const;

  const guarded_rows& rows() const { return rows_; }
  const voter_set& voters() const { return voters_; }
  /// @return OK, or why the row of the voters can't be read; there are no voters then
  const absl::Status& voters_status() const { return voters_status_; }
  const freshness_evidence& evidence() const { return evidence_; }
  in_force_tracker& tracker() { return tracker_; }
  const in_force_tracker& tracker() const { return tracker_; }

 private:
  void Adopt(const guarded_rows& rows, instant now);
  void OnNewRows(instant now);
  bool IsOwnVersionConfirmed() const;
  std::vector<outgoing_question> AskVoters(uint64_t poll, instant now) const;
  peer_answer Answer(uint64_t asker_has, instant now) const;
  void TryMajority(instant now);

  entry_incarnation self_;
  freshness_settings settings_;
  guarded_rows rows_;
  instant rows_since_;  // when rows_ last changed
  voter_set voters_;
  absl::Status voters_status_;
  freshness_evidence evidence_;
  outage_poll poll_;
  in_force_tracker tracker_;
};

}  // namespace wagtail
