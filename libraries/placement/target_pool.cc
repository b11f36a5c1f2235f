#include "placement/target_pool.h"

#include <algorithm>

#include "base/verify.h"
#include "placement/baseline_choices.h"
#include "placement/expected_finish.h"

namespace wagtail {

namespace {

/// Time until waiting tasks are offered again if no event occurs.
constexpr duration kWakeInterval = std::chrono::milliseconds(5);
/// A pick deferred longer ago than this schedules no wake-up: its task is gone.
constexpr duration kDeferralExpiry = std::chrono::seconds(1);

choice_hook ChoiceOf(const placement_options& options) {
  switch (options.policy) {
    case placement_policy::kRandom:
      return ChooseRandom;
    case placement_policy::kRoundRobin:
      return ChooseRoundRobin;
    case placement_policy::kLeastOutstanding:
      return ChooseLeastOutstanding;
    case placement_policy::kExpectedFinish:
      return [policy = expected_finish(options)](const choice_request& request) {
        return policy.Choose(request);
      };
  }
  VERIFY_NOT_REACHED();
}

}  // namespace

std::unique_ptr<placement> MakePlacement(const placement_options& options) {
  return std::make_unique<target_pool>(options);
}

target_pool::target_pool(const placement_options& options)
    : options_(options),
      choose_(ChoiceOf(options)),
      ejects_(options.policy == placement_policy::kExpectedFinish),
      random_(options.seed) {}

void target_pool::AddTarget(const target_profile& profile, instant now) {
  target_state* known = Find(profile.incarnation);
  if (known != nullptr) {
    VERIFY(known->profile().service == profile.service);
    known->Announce(profile, now);
    return;
  }
  auto state = std::make_unique<target_state>(profile, options_, now);
  groups_[profile.service].targets.push_back(state.get());
  targets_.emplace(profile.incarnation, std::move(state));
}

void target_pool::RemoveTarget(const target_incarnation& target) {
  target_state* state = Find(target);
  if (state == nullptr) {
    return;
  }
  state->Remove();
  EraseIfUnused(target);
}

void target_pool::SetAdmitted(const target_incarnation& target, bool admitted, instant now) {
  target_state* state = Find(target);
  if (state == nullptr) {
    return;
  }
  state->SetAdmitted(admitted, now);
  RestoreMinServingSlots(GroupOf(*state), now);
}

void target_pool::SetReachable(const target_incarnation& target, bool reachable, instant now) {
  target_state* state = Find(target);
  if (state == nullptr) {
    return;
  }
  state->SetReachable(reachable, now);
  RestoreMinServingSlots(GroupOf(*state), now);
}

std::optional<target_incarnation> target_pool::Pick(std::string_view service,
                                                    const target_requirements& requirements,
                                                    std::span<const target_incarnation> excluded,
                                                    instant now) {
  const auto found = groups_.find(service);
  if (found == groups_.end()) {
    return std::nullopt;
  }
  service_group& group = found->second;
  if (group.deferred_at != now) {
    group.deferred = 0;
  }
  const std::vector<target_state*> candidates = CandidatesOf(group, requirements, excluded);
  target_state* chosen = choose_({group, candidates, now, random_});
  group.is_deferring = chosen == nullptr;
  if (chosen == nullptr) {
    ++group.deferred;
    group.deferred_at = now;
    return std::nullopt;
  }
  VERIFY(chosen->IsUsable());
  VERIFY(chosen->HasCapacity());
  VERIFY(!ejects_ || !chosen->health().IsEjected(now));
  VERIFY(std::ranges::find(excluded, chosen->profile().incarnation) == excluded.end());
  group.waiting -= std::min<uint32_t>(group.waiting, 1);
  return chosen->profile().incarnation;
}

bool target_pool::CanEverRun(std::string_view service,
                             const target_requirements& requirements) const {
  const auto found = groups_.find(service);
  return found != groups_.end() &&
         std::ranges::any_of(found->second.targets, [&](const target_state* target) {
           return target->announced() && target->Meets(requirements);
         });
}

std::optional<instant> target_pool::NextWake(instant now) const {
  const bool is_waiting = std::ranges::any_of(groups_, [&](const auto& named_group) {
    const service_group& group = named_group.second;
    return group.is_deferring && now - group.deferred_at < kDeferralExpiry;
  });
  if (!is_waiting) {
    return std::nullopt;
  }
  return now + kWakeInterval;
}

void target_pool::SetWaiting(std::string_view service, uint32_t tasks) {
  const auto found = groups_.find(service);
  if (found != groups_.end()) {
    found->second.waiting = tasks;
  }
}

void target_pool::OnSent(const target_incarnation& target, instant now) {
  target_state* state = Find(target);
  VERIFY(state != nullptr);
  state->OnSent(now);
}

void target_pool::OnResult(const target_incarnation& target, task_outcome outcome,
                           duration run_time, const target_load& load, instant now) {
  target_state* state = Find(target);
  VERIFY(state != nullptr);
  state->OnResult(outcome, run_time, load, now);
  EjectIfDue(*state, now);
  EraseIfUnused(target);
}

void target_pool::OnRefused(const target_incarnation& target, const target_load& load,
                            instant now) {
  target_state* state = Find(target);
  VERIFY(state != nullptr);
  state->OnRefused(load, now);
  EraseIfUnused(target);
}

void target_pool::OnLost(const target_incarnation& target, instant now) {
  target_state* state = Find(target);
  VERIFY(state != nullptr);
  state->OnLost(now);
  EjectIfDue(*state, now);
  EraseIfUnused(target);
}

uint32_t target_pool::OutstandingAt(const target_incarnation& target) const {
  const target_state* state = Find(target);
  return state == nullptr ? 0 : state->outstanding();
}

bool target_pool::IsEjected(const target_incarnation& target, instant now) const {
  const target_state* state = Find(target);
  return state != nullptr && state->health().IsEjected(now);
}

target_state* target_pool::Find(const target_incarnation& target) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? nullptr : found->second.get();
}

service_group& target_pool::GroupOf(const target_state& target) {
  const auto found = groups_.find(target.profile().service);
  VERIFY(found != groups_.end());
  return found->second;
}

std::vector<target_state*> target_pool::CandidatesOf(
    const service_group& group, const target_requirements& requirements,
    std::span<const target_incarnation> excluded) const {
  std::vector<target_state*> candidates;
  std::ranges::copy_if(group.targets, std::back_inserter(candidates), [&](target_state* target) {
    return target->IsUsable() && target->HasCapacity() && target->Meets(requirements) &&
           std::ranges::find(excluded, target->profile().incarnation) == excluded.end();
  });
  return candidates;
}

void target_pool::EraseIfUnused(const target_incarnation& target) {
  target_state* state = Find(target);
  if (state->announced() || state->outstanding() > 0) {
    return;
  }
  service_group& group = GroupOf(*state);
  std::erase(group.targets, state);
  if (group.targets.empty()) {
    groups_.erase(groups_.find(state->profile().service));
  }
  targets_.erase(target);
}

void target_pool::EjectIfDue(target_state& target, instant now) {
  service_group& group = GroupOf(target);
  if (!ejects_ || !target.IsUsable() || target.health().IsEjected(now) ||
      !target.health().IsDue(FailureRateOfOthers(group, target))) {
    return;
  }
  slot_count after = SlotsOf(group, now);
  after.ejected += target.profile().slots;
  if (!HasMinServingSlots(after)) {
    return;
  }
  target.Eject(now);
  VERIFY(HasMinServingSlots(SlotsOf(group, now)));
}

void target_pool::RestoreMinServingSlots(service_group& group, instant now) {
  while (!HasMinServingSlots(SlotsOf(group, now))) {
    const auto rank = [now](const target_state* target) {
      return target->IsUsable() && target->health().IsEjected(now) ? target->health().failure_rate()
                                                                   : 2.0;
    };
    target_state* best_ejected = *std::ranges::min_element(group.targets, {}, rank);
    VERIFY(best_ejected->health().IsEjected(now));
    best_ejected->Readmit(now);
  }
}

target_pool::slot_count target_pool::SlotsOf(const service_group& group, instant now) const {
  slot_count slots;
  for (const target_state* target : group.targets) {
    if (!target->IsUsable()) {
      continue;
    }
    slots.usable += target->profile().slots;
    slots.ejected += target->health().IsEjected(now) ? target->profile().slots : 0;
  }
  return slots;
}

bool target_pool::HasMinServingSlots(const slot_count& slots) const {
  const double serving = slots.usable - slots.ejected;
  return serving >= options_.ejection.min_serving_slots * slots.usable;
}

double target_pool::FailureRateOfOthers(const service_group& group, const target_state& target) {
  double sum = 0;
  uint32_t others = 0;
  for (const target_state* other : group.targets) {
    if (other == &target || !other->IsUsable()) {
      continue;
    }
    sum += other->health().failure_rate();
    ++others;
  }
  return others == 0 ? 1 : sum / others;
}

}  // namespace wagtail
