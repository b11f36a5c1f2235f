#include "freshness/in_force_tracker.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace wagtail {

void in_force_tracker::OnVersion(uint64_t version, const voter_set& voters, instant now) {
  if (version <= version_) {
    return;
  }
  version_ = version;
  voters_ = voters;
  std::erase_if(confirmed_by_voter_,
                [&](const auto& confirmed) { return !voters_.Contains(confirmed.first); });
  Settle(now);
}

void in_force_tracker::OnVoterConfirmed(entry_incarnation voter, uint64_t version, instant now) {
  auto& confirmed = confirmed_by_voter_[voter];
  confirmed = std::max(confirmed, version);
  Settle(now);
}

void in_force_tracker::OnVoterStopped(entry_incarnation voter, instant now) {
  stopped_voters_.insert(voter);
  Settle(now);
}

void in_force_tracker::OnTargets(std::span<const target_incarnation> announced) {
  std::map<target_incarnation, uint64_t> kept;
  for (const auto& target : announced) {
    auto found = confirmed_by_target_.find(target);
    kept.emplace(target, found == confirmed_by_target_.end() ? 0 : found->second);
  }
  confirmed_by_target_ = std::move(kept);
}

void in_force_tracker::OnTargetConfirmed(const target_incarnation& target, uint64_t version) {
  auto found = confirmed_by_target_.find(target);
  if (found != confirmed_by_target_.end()) {
    found->second = std::max(found->second, version);
  }
}

bool in_force_tracker::IsInForce(uint64_t version, instant now) const {
  auto step = std::ranges::lower_bound(steps_, version, {}, &majority_step::version);
  return step != steps_.end() && now - step->reached >= settings_.LapseAfter();
}

std::vector<missing_party> in_force_tracker::Missing(uint64_t version, instant now) const {
  std::vector<missing_party> missing;
  if (!HasMajority(version)) {
    for (const auto& member : voters_.members()) {
      if (ConfirmedBy(member.incarnation) < version) {
        missing.push_back({member.name, missing_reason::kVoterSilent});
      }
    }
  }
  auto reason =
      IsInForce(version, now) ? missing_reason::kStoppedWorking : missing_reason::kMayStillStart;
  for (const auto& [target, confirmed] : confirmed_by_target_) {
    if (confirmed < version) {
      missing.push_back({ToString(target), reason});
    }
  }
  return missing;
}

uint64_t in_force_tracker::ConfirmedBy(entry_incarnation voter) const {
  if (stopped_voters_.contains(voter)) {
    return std::numeric_limits<uint64_t>::max();
  }
  auto found = confirmed_by_voter_.find(voter);
  return found == confirmed_by_voter_.end() ? 0 : found->second;
}

uint64_t in_force_tracker::MajorityVersion() const {
  if (voters_.empty()) {
    return 0;
  }
  std::vector<uint64_t> confirmed;
  for (const auto& member : voters_.members()) {
    confirmed.push_back(ConfirmedBy(member.incarnation));
  }
  std::ranges::sort(confirmed, std::greater<>());
  // Voters may know a version of which this entry does not know the voter set yet.
  return std::min(confirmed[voters_.Majority() - 1], version_);
}

void in_force_tracker::Settle(instant now) {
  uint64_t reached = MajorityVersion();
  if (reached == 0 || (!steps_.empty() && steps_.back().version >= reached)) {
    return;
  }
  // One step old enough is all that is needed of the past.
  while (steps_.size() > 1 && now - steps_[1].reached >= settings_.LapseAfter()) {
    steps_.pop_front();
  }
  steps_.push_back({reached, now});
}

}  // namespace wagtail
