#include "tests/dispatch/fake_placement.h"

#include <algorithm>

namespace wagtail {

void fake_placement::AddTarget(const target_profile& profile, instant /*now*/) {
  targets[profile.incarnation] = {};
}

void fake_placement::RemoveTarget(const target_incarnation& target) { targets.erase(target); }

void fake_placement::SetAdmitted(const target_incarnation& target, bool admitted, instant /*now*/) {
  targets[target].admitted = admitted;
}

void fake_placement::SetReachable(const target_incarnation& target, bool reachable,
                                  instant /*now*/) {
  targets[target].reachable = reachable;
}

std::optional<target_incarnation> fake_placement::Pick(std::string_view wanted,
                                                       const target_requirements& /*requirements*/,
                                                       std::span<const target_incarnation> excluded,
                                                       instant /*now*/) {
  for (const auto& [target, state] : targets) {
    bool fits = wanted == service && state.admitted && state.reachable &&
                state.outstanding < state.capacity &&
                std::ranges::find(excluded, target) == excluded.end();
    if (fits) {
      return target;
    }
  }
  return std::nullopt;
}

bool fake_placement::CanEverRun(std::string_view wanted,
                                const target_requirements& /*requirements*/) const {
  return wanted == service && !targets.empty();
}

std::optional<instant> fake_placement::NextWake(instant /*now*/) const { return std::nullopt; }

void fake_placement::OnSent(const target_incarnation& target, instant /*now*/) {
  ++targets[target].outstanding;
}

void fake_placement::OnResult(const target_incarnation& target, task_outcome /*outcome*/,
                              duration /*run_time*/, const target_load& /*load*/, instant /*now*/) {
  --targets[target].outstanding;
}

void fake_placement::OnRefused(const target_incarnation& target, const target_load& /*load*/,
                               instant /*now*/) {
  --targets[target].outstanding;
}

void fake_placement::OnLost(const target_incarnation& target, instant /*now*/) {
  if (targets.contains(target)) {
    --targets[target].outstanding;
  }
}

}  // namespace wagtail
