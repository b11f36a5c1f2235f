#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "scheduler/scheduler_events.h"

namespace wagtail::leased {

struct target_table_options {
  /// Failure domain of the entry.
  std::string domain{};
  /// A target whose agent has sent no report for this long gets no new tasks.
  duration report_timeout = std::chrono::milliseconds(400);
  /// Share of failed runs at which a target gets only probes.
  double failing_limit = 0.5;
  /// Minimum time between probes of a failing target.
  duration probe_interval = std::chrono::milliseconds(500);
  /// Factor on the score of targets in the entry's own failure domain; a target elsewhere must be
  /// better by this much. Messages within the domain are faster and cheaper, and compete with fewer
  /// orders from other entries.
  double local_domain_factor = 0.8;
  /// Network time of an order and its result between an entry and a target.
  duration round_trip = std::chrono::milliseconds(6);
};

/// One entry's view of the targets: the load reported by their agents, minus the orders sent since.
/// Selects the target for a task. Handles bursts by placing no more tasks than targets can start at
/// once.
class target_table {
 public:
  struct choice {
    session_id session = 0;
    duration run{0};  ///< predicted duration
  };
  struct task_demand {
    std::string_view service;
    task_resources resources;
    duration estimate{0};
    const std::vector<std::string>* excluded = nullptr;  ///< addresses of agents, may be null
    /// Time left to the objective if the estimate is right; empty if any target is acceptable.
    std::optional<duration> time_left{};
    /// Longest predicted duration that is acceptable; empty if any is.
    std::optional<duration> max_run{};
    /// Part of the target's capacity that the task must leave free.
    double reserved_share = 0;
  };

  explicit target_table(target_table_options options) : options_(std::move(options)) {}

  void OnSessionOpened(session_id session, const agent_identity& agent, instant now);
  void OnReport(session_id session, const session_report& report, instant now);
  void OnSessionClosed(session_id session);
  void SetPlan(const operating_plan& plan) { leaving_domains_ = plan.leaving_domains; }
  /// Counts an order until the agent's load accounts for it.
  void Ordered(session_id session, uint64_t order, const task_resources& resources, instant now);

  /// @return the target that is expected to finish the task first, if one has free resources for it
  std::optional<choice> Choose(const task_demand& demand, instant now) const;
  /// @return predicted duration on a target that is faster than three of four in use, whether it
  ///   has free resources or not; may be some milliseconds old
  std::optional<duration> FastRunTime(std::string_view service, duration estimate,
                                      instant now) const;
  /// @return whether any target in use could ever hold the task
  bool CouldHold(const task_demand& demand, instant now) const;

  /// @return how many tasks of this size could start now
  int64_t StartableTasks(const task_demand& demand, instant now) const;

  /// This entry's share of the service's targets in use while they are full: an equal part for each
  /// entry that shares them.
  /// @return processor capacity in thousandths of a core of nominal speed
  double CapacityShare(std::string_view service, instant now) const;
  /// @return sessions whose agents have sent no report for longer than `limit`
  std::vector<session_id> Unresponsive(duration limit, instant now) const;
  /// @return service of the session's target as last reported; empty if not known
  std::string_view Service(session_id session) const;
  const agent_identity* Agent(session_id session) const;
  std::optional<instant> LastReport(session_id session) const;
  size_t InUse(instant now) const;

 private:
  struct unreported_order {
    uint64_t order = 0;
    task_resources resources{};
  };
  struct row {
    agent_identity agent;
    session_report report;
    instant last_report;
    instant last_probe;
    std::vector<unreported_order> unreported{};
  };

  struct cached_slowness {
    instant at;
    std::optional<double> slowness{};
  };

  std::optional<double> FastSlowness(std::string_view service, instant now) const;
  bool IsUsable(const row& target, const task_demand& demand, instant now) const;
  bool IsFailing(const row& target) const;
  static task_resources FreeResources(const row& target);
  /// @return what the task may use of the target's free resources
  static task_resources FreeFor(const row& target, const task_demand& demand);
  duration ExpectedWait(const row& target, const task_demand& demand) const;
  bool IsEligible(const row& target, const task_demand& demand, instant now) const;
  double ScoreOf(const row& target, const task_demand& demand) const;
  bool MeetsObjective(const row& target, const task_demand& demand, duration wait) const;

  target_table_options options_;
  std::map<session_id, row> rows_;
  std::set<std::string> leaving_domains_;
  /// Cached by service: it is read for each job on each scheduling pass, and changes slowly.
  mutable std::map<std::string, cached_slowness, std::less<>> fast_slowness_;
};

}  // namespace wagtail::leased
