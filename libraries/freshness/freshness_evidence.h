#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

/// @file
/// How recently this process can show that it knew the newest configuration.
///
/// Version here and in the rest of this library: the table revision that last wrote the row
/// `configuration` or the row `voters`, whichever is later. Both rows are read together and handed
/// on together, so a process that knows a version knows everything up to it.

namespace wagtail {

/// Evidence (instant E, version V) states: no version above V was in force at E. Two statements
/// combine to the later instant and the higher version, so reports may come late, twice and in any
/// order; neither part ever goes back.
class freshness_evidence {
 public:
  /// A read of the table by this process succeeded.
  /// @param read_started when it was sent off, not when it was answered
  /// @param version the highest version in the answer, whose rows this process now holds
  void OnDirectRead(instant read_started, uint64_t version);

  /// Another process told the age of its evidence. Dated by the question: however long the answer
  /// was under way, the evidence was at least `age` old when the question left.
  /// @param asked_at when this process sent the question
  /// @param age of the other's evidence when it answered, on its clock
  /// @param version of the other, whose rows this process now holds
  void OnAnswer(instant asked_at, duration age, uint64_t version);

  /// A majority of the voters answered a poll.
  /// @param poll_begun when the first question of the poll was sent
  /// @param version the highest among this process and those counted; its rows are held here
  void OnMajority(instant poll_begun, uint64_t version);

  /// @return time since the evidence, or empty if there is none yet
  std::optional<duration> Age(instant now) const;
  /// @return time since the start of this process's last successful read of the table, or empty
  std::optional<duration> OwnReadAge(instant now) const;
  bool IsFresh(instant now, duration limit) const;
  /// @return the highest version known; 0 for none
  uint64_t version() const { return version_; }

 private:
  void Advance(instant evidence, uint64_t version);

  std::optional<instant> evidence_;
  std::optional<instant> own_read_;
  uint64_t version_ = 0;
};

}  // namespace wagtail
