#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/identifiers.h"
#include "base/time.h"
#include "configuration/configuration.h"

/// @file
/// Chooses the target of a task. Free of sockets, threads and clocks.

namespace wagtail {

/// What an announced target offers.
struct target_profile {
  target_incarnation incarnation;
  std::string service;
  std::string failure_domain;
  uint32_t slots = 1;  ///< tasks the target runs at once
  uint32_t cores = 0;
  uint32_t memory_mb = 0;
  std::string accelerator;
};

/// Load as a target's daemon tells it on the back of results and refusals.
struct target_load {
  uint32_t running = 0;  ///< tasks running, of every entry
  uint32_t queued = 0;   ///< tasks accepted and not started, of every entry
};

enum class task_outcome {
  kCompleted,  ///< the target ran the task and answered success
  kFailed,     ///< the target ran the task and answered failure
  kTimedOut,   ///< the target did not answer within the task's timeout
};

/// Decides where tasks go; one object per entry, for all services.
class placement {
 public:
  virtual ~placement() = default;
  virtual void AddTarget(const target_profile& profile, instant now) = 0;
  virtual void RemoveTarget(const target_incarnation& target) = 0;
  /// Called when the configuration marks the target as leaving (false) or returning (true).
  virtual void SetAdmitted(const target_incarnation& target, bool admitted, instant now) = 0;
  /// Called when the link to the target's daemon is lost or restored.
  virtual void SetReachable(const target_incarnation& target, bool reachable, instant now) = 0;

  /// Chooses a target for one task, or none: the task had better wait where it can still be moved.
  /// @param service of the task
  /// @param requirements of that service
  /// @param excluded targets that refused this task already
  virtual std::optional<target_incarnation> Pick(std::string_view service,
                                                 const target_requirements& requirements,
                                                 std::span<const target_incarnation> excluded,
                                                 instant now) = 0;
  /// @return whether any announced target could ever run the service's tasks, load aside
  virtual bool CanEverRun(std::string_view service,
                          const target_requirements& requirements) const = 0;
  /// @return when waiting tasks should be offered again although nothing happened; may be empty
  virtual std::optional<instant> NextWake(instant now) const = 0;

  /// Tells how many tasks of a service wait at this entry, the one about to be offered included.
  /// Call it before a round of picks; an implementation may send more work to slower targets when
  /// more tasks wait. Without it only the picks turned away at the same instant are counted.
  virtual void SetWaiting(std::string_view /*service*/, uint32_t /*tasks*/) {}

  /// Call it right after the Pick that chose the target, before any other call. Each sent task is
  /// followed by exactly one of OnResult, OnRefused and OnLost, also when its target was removed
  /// meanwhile.
  virtual void OnSent(const target_incarnation& target, instant now) = 0;
  /// @param run_time how long the target took for the task itself, as measured by its daemon
  virtual void OnResult(const target_incarnation& target, task_outcome outcome, duration run_time,
                        const target_load& load, instant now) = 0;
  /// The target's daemon proved that it did not start the task.
  virtual void OnRefused(const target_incarnation& target, const target_load& load,
                         instant now) = 0;
  /// The outcome of a sent task will not be known.
  virtual void OnLost(const target_incarnation& target, instant now) = 0;
};

}  // namespace wagtail
