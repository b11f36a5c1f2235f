#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/identifiers.h"
#include "base/time.h"
#include "freshness/freshness_evidence.h"
#include "freshness/freshness_settings.h"
#include "membership/voter_set.h"

/// @file
/// How an entry that can't read the table finds out whether a majority of the voters can't either.

namespace wagtail {

/// What an entry answers to another entry's poll, taken from its evidence when it answers.
struct poll_answer {
  entry_incarnation voter;
  uint64_t version = 0;                  ///< highest known to the answerer
  std::optional<duration> age;           ///< of its evidence, of any kind
  std::optional<duration> own_read_age;  ///< of its own last successful read of the table
};

/// One poll after another of an entry. A poll that succeeded shows that no version above the
/// highest answered was in force when the poll began: a majority had not heard of one, and a
/// change needs a majority to be in force.
class outage_poll {
 public:
  explicit outage_poll(const freshness_settings& settings) : settings_(settings) {}

  /// @return whether this entry needs a poll: its own reads fail and none is under way
  bool IsDue(const freshness_evidence& own, instant now) const;
  /// Begins a poll and gives up the one under way. Ask every voter but oneself, after this call.
  /// @return number of the poll, to be kept with each question
  uint64_t Begin(instant now);

  /// Records one answer. The caller has taken over the rows of `answer.version` before.
  /// @param poll the number kept with the question; answers to earlier polls are dropped, since
  ///   they may have been given before the present one began
  void OnAnswer(uint64_t poll, const poll_answer& answer);

  /// @param self this entry, counted if it has a vote
  /// @param own evidence of this entry
  /// @param voters of the newest version this entry holds
  /// @return when the poll began, if a majority answered that they can't read; evidence may move
  ///   to that instant, with the version that this entry now holds
  std::optional<instant> Outcome(entry_incarnation self, const freshness_evidence& own,
                                 const voter_set& voters, instant now) const;

 private:
  bool ReadsFail(const std::optional<duration>& own_read_age) const;

  freshness_settings settings_;
  uint64_t number_ = 0;
  std::optional<instant> begun_;
  std::map<entry_incarnation, poll_answer> answers_;
};

}  // namespace wagtail
