#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/identifiers.h"

/// @file
/// The entries whose majority decides whether evidence may move on while the table is down, and
/// whether a change is in force. The set lives in one table row.

namespace wagtail {

/// Key of the table row that holds the set. One read of the prefix `configuration` brings this row
/// and the operators' text together, from one state of the table: with two reads, a change between
/// them would go unseen although a later one is known.
inline constexpr std::string_view kVotersKey = "configuration/voters";

/// One entry incarnation with a vote. A restarted entry has forgotten what it confirmed, so it is
/// another incarnation and has no vote until it is added.
struct voter {
  entry_incarnation incarnation;
  std::string name;
  std::string failure_domain;
  bool operator==(const voter&) const = default;
};

/// An immutable set of voters. Two sets of which one follows the other differ by one member, so
/// that a majority of the one and a majority of the other have a member in common.
class voter_set {
 public:
  /// The empty set, of which nothing is a majority.
  voter_set() = default;
  /// @param members in any order, each incarnation once
  explicit voter_set(std::vector<voter> members);

  /// Reads the value of the table row.
  /// @return the set, or membership_error::kBadRow
  static absl::StatusOr<voter_set> Parse(std::string_view text);
  /// @return the value for the table row
  std::string Serialise() const;

  const std::vector<voter>& members() const { return members_; }
  std::size_t size() const { return members_.size(); }
  bool empty() const { return members_.empty(); }
  bool Contains(entry_incarnation incarnation) const;
  /// @return the smallest number of members that is a majority; more than size() if empty
  std::size_t Majority() const { return members_.size() / 2 + 1; }
  /// @param holds whether a member is to be counted
  /// @return whether those counted are a majority
  bool IsMajority(const std::function<bool(entry_incarnation)>& holds) const;
  /// @return OK if `next` may follow this set: one member added or one removed, never the last
  absl::Status CheckStep(const voter_set& next) const;
  bool operator==(const voter_set&) const = default;

 private:
  std::vector<voter> members_;  // sorted by incarnation
};

}  // namespace wagtail
