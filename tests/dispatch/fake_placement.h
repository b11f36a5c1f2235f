#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "placement/placement.h"

namespace wagtail {

/// Assigns each task to the first target that has capacity and is not excluded.
class fake_placement final : public placement {
 public:
  struct state {
    uint32_t capacity = 100;
    bool admitted = true;
    bool reachable = true;
    uint32_t outstanding = 0;
  };

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
  void OnSent(const target_incarnation& target, instant now) override;
  void OnResult(const target_incarnation& target, task_outcome outcome, duration run_time,
                const target_load& load, instant now) override;
  void OnRefused(const target_incarnation& target, const target_load& load, instant now) override;
  void OnLost(const target_incarnation& target, instant now) override;

  std::map<target_incarnation, state> targets;
  std::string service = "court-control";
};

}  // namespace wagtail
