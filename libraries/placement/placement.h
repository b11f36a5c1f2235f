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
/// Chooses the target of a task. Uses no sockets, threads or clocks.

namespace wagtail {

/// Properties of an announced target.
struct target_profile {
  target_incarnation incarnation;
  std::string service;
  std::string failure_domain;
  uint32_t slots = 1;  ///< tasks the target runs at once
  uint32_t cores = 0;
  uint32_t memory_mb = 0;
  std::string accelerator;
};

/// Load that a target's daemon reports with each result and refusal.
struct target_load {
  uint32_t running = 0;  ///< running tasks, of all entries
  uint32_t queued = 0;   ///< tasks accepted and not started, of all entries
};

enum class task_outcome {
  kCompleted,  ///< the target ran the task and reported success
  kFailed,     ///< the target ran the task and reported failure
  kTimedOut,   ///< the target did not answer within the task's timeout
};

/// Assigns tasks to targets; one object per entry, for all services.
class placement {
 public:
  virtual ~placement() = default;
  virtual void AddTarget(const target_profile& profile, instant now) = 0;
  virtual void RemoveTarget(const target_incarnation& target) = 0;
  /// Called when the configuration marks the target as leaving (false) or returning (true).
  virtual void SetAdmitted(const target_incarnation& target, bool admitted, instant now) = 0;
  /// Called when the link to the target's daemon is lost or restored.
  virtual void SetReachable(const target_incarnation& target, bool reachable, instant now) = 0;

  /// Chooses a target for one task, or none: the task should wait at the entry, where it can still
  /// go to any target.
  /// @param service of the task
  /// @param requirements of that service
  /// @param excluded targets that have already refused this task
  virtual std::optional<target_incarnation> Pick(std::string_view service,
                                                 const target_requirements& requirements,
                                                 std::span<const target_incarnation> excluded,
                                                 instant now) = 0;
  /// @return whether any announced target could run the service's tasks, regardless of load
  virtual bool CanEverRun(std::string_view service,
                          const target_requirements& requirements) const = 0;
  /// @return when waiting tasks should be offered again if no event occurs before; may be empty
  virtual std::optional<instant> NextWake(instant now) const = 0;

  /// Sets how many tasks of a service wait at this entry, including the one about to be offered.
  /// Call it before a round of picks; an implementation may send more work to slower targets when
  /// more tasks wait. Without it only the picks deferred at the same instant are counted.
  virtual void SetWaiting(std::string_view /*service*/, uint32_t /*tasks*/) {}

  /// Call it right after the Pick that chose the target, before any other call. Each sent task is
  /// followed by exactly one of OnResult, OnRefused and OnLost, even if its target was removed in
  /// the meantime.
  virtual void OnSent(const target_incarnation& target, instant now) = 0;
  /// @param run_time run time of the task on the target, as measured by its daemon
  virtual void OnResult(const target_incarnation& target, task_outcome outcome, duration run_time,
                        const target_load& load, instant now) = 0;
  /// The target's daemon proved that it did not start the task.
  virtual void OnRefused(const target_incarnation& target, const target_load& load,
                         instant now) = 0;
  /// The outcome of a sent task will never be known.
  virtual void OnLost(const target_incarnation& target, instant now) = 0;
};

}  // namespace wagtail
