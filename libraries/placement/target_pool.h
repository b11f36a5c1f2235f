#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "placement/placement.h"
#include "placement/placement_options.h"
#include "placement/service_group.h"

/// @file
/// Keeps the targets of every service and applies the selected policy to them.

namespace wagtail {

/// The targets known to one entry, with their state. Not safe for concurrent use.
class target_pool : public placement {
 public:
  explicit target_pool(const placement_options& options);

  void AddTarget(const target_profile& profile, instant now) override;
  void RemoveTarget(const target_incarnation& target) override;
  void SetAdmitted(const target_incarnation& target, bool admitted, instant now) override;
  void SetReachable(const target_incarnation& target, bool reachable, instant now) override;
  std::optional<target_incarnation> Pick(std::string_view service,
                                         const target_requirements& requirements,
                                         std::span<const target_incarnation> excluded,
                                         instant now) override;
  bool CanEverRun(std::string_view service, const target_requirements& requirements) const override;
  std::optional<instant> NextWake(instant now) const override;
  void SetWaiting(std::string_view service, uint32_t tasks) override;
  void OnSent(const target_incarnation& target, instant now) override;
  void OnResult(const target_incarnation& target, task_outcome outcome, duration run_time,
                const target_load& load, instant now) override;
  void OnRefused(const target_incarnation& target, const target_load& load, instant now) override;
  void OnLost(const target_incarnation& target, instant now) override;

  /// @return outstanding tasks of this entry at the target, 0 if it is unknown
  uint32_t OutstandingAt(const target_incarnation& target) const;
  /// @return whether the target is ejected at `now`
  bool IsEjected(const target_incarnation& target, instant now) const;

 private:
  /// Slots of a service on usable targets, and those of them that are ejected.
  struct slot_count {
    uint32_t usable = 0;
    uint32_t ejected = 0;
  };

  target_state* Find(const target_incarnation& target) const;
  service_group& GroupOf(const target_state& target);
  std::vector<target_state*> CandidatesOf(const service_group& group,
                                          const target_requirements& requirements,
                                          std::span<const target_incarnation> excluded) const;
  void EraseIfUnused(const target_incarnation& target);
  void EjectIfDue(target_state& target, instant now);
  void RestoreMinServingSlots(service_group& group, instant now);
  slot_count SlotsOf(const service_group& group, instant now) const;
  bool HasMinServingSlots(const slot_count& slots) const;
  static double FailureRateOfOthers(const service_group& group, const target_state& target);

  placement_options options_;
  choice_hook choose_;
  bool ejects_;
  std::mt19937_64 random_;
  absl::flat_hash_map<target_incarnation, std::unique_ptr<target_state>> targets_;
  std::map<std::string, service_group, std::less<>> groups_;
};

}  // namespace wagtail
