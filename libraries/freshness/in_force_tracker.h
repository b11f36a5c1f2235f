#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "freshness/freshness_settings.h"
#include "membership/voter_set.h"

/// @file
/// Decides when a change may be called in force.

namespace wagtail {

enum class missing_reason {
  kVoterSilent,     ///< a majority is wanting, and this voter has not confirmed
  kMayStillStart,   ///< this target has not confirmed, and its older evidence may still be fresh
  kStoppedWorking,  ///< this target has not confirmed; it has no fresh evidence and starts nothing
};

struct missing_party {
  std::string name;
  missing_reason reason = missing_reason::kVoterSilent;
  bool operator==(const missing_party&) const = default;
};

/// A version is in force once a majority of the voters confirmed it and LapseAfter() has passed
/// since. From the majority on, no poll that began later can leave the version out, so evidence
/// for an older one is at best as recent as that majority; after LapseAfter() no holder of it
/// starts a task. This holds for every daemon, announced or not, replaced, frozen or cut off.
class in_force_tracker {
 public:
  explicit in_force_tracker(const freshness_settings& settings) : settings_(settings) {}

  /// This entry took over the rows of a version.
  /// @param voters as of `version`
  void OnVersion(uint64_t version, const voter_set& voters, instant now);
  /// A voter said, in any message, that it knows `version`.
  void OnVoterConfirmed(entry_incarnation voter, uint64_t version, instant now);
  /// The voter will never answer a poll again: it has written so itself as its last act, or an
  /// operator vouches for it. Counts as confirming every version.
  void OnVoterStopped(entry_incarnation voter, instant now);
  /// The announced targets, for Missing() only.
  void OnTargets(std::span<const target_incarnation> announced);
  /// A target's daemon said that it holds `version`.
  void OnTargetConfirmed(const target_incarnation& target, uint64_t version);

  bool IsInForce(uint64_t version, instant now) const;
  /// @return whether a majority of the voters confirmed the version; a step of the voter set needs
  ///   this for the version that wrote the present set
  bool HasMajority(uint64_t version) const { return version <= MajorityVersion(); }
  /// @return whether one voter confirmed the version
  bool HasConfirmed(entry_incarnation voter, uint64_t version) const {
    return ConfirmedBy(voter) >= version;
  }
  /// @return who has not confirmed the version, and what that means
  std::vector<missing_party> Missing(uint64_t version, instant now) const;

 private:
  struct majority_step {
    uint64_t version = 0;
    instant reached;
  };

  uint64_t ConfirmedBy(entry_incarnation voter) const;
  uint64_t MajorityVersion() const;
  void Settle(instant now);

  freshness_settings settings_;
  uint64_t version_ = 0;
  voter_set voters_;
  std::map<entry_incarnation, uint64_t> confirmed_by_voter_;
  std::set<entry_incarnation> stopped_voters_;
  std::map<target_incarnation, uint64_t> confirmed_by_target_;
  std::deque<majority_step> steps_;  // versions and instants grow
};

}  // namespace wagtail
