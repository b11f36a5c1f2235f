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
  /// A target whose agent was not heard for this long gets nothing new.
  duration quiet_limit = std::chrono::milliseconds(400);
  /// Share of failed runs from which a target gets only trial tasks.
  double failing_limit = 0.5;
  /// Pause between trial tasks on a failing target.
  duration trial_pause = std::chrono::milliseconds(500);
  /// How much better a target in another failure domain must be than one in the entry's own, where
  /// messages are quicker, cost less, and meet fewer orders of other entries.
  double nearness = 0.8;
  /// Way of an order and its result between an entry and a target.
  duration round_trip = std::chrono::milliseconds(6);
};

/// The targets as one entry sees them: what their agents reported, less what was ordered since.
/// Chooses where a task goes. Answers bursts by handing out no more than targets can start at once.
class target_table {
 public:
  struct choice {
    session_id session = 0;
    duration run{0};  ///< predicted duration
  };
  struct need {
    std::string_view service;
    task_resources resources;
    duration estimate{0};
    const std::vector<std::string>* avoided = nullptr;  ///< addresses of agents, may be null
    /// Time left to the objective if the estimate is right; nothing if any target will do.
    std::optional<duration> time_left{};
  };

  explicit target_table(target_table_options options) : options_(std::move(options)) {}

  void OnSessionOpened(session_id session, const agent_identity& agent, instant now);
  void OnReport(session_id session, const session_report& report, instant now);
  void OnSessionClosed(session_id session);
  void SetPlan(const operating_plan& plan) { leaving_domains_ = plan.leaving_domains; }
  /// Counts an order until the agent's load accounts for it.
  void Ordered(session_id session, uint64_t order, const task_resources& resources, instant now);

  /// @return the target that is expected to finish the task first, if one has room for it
  std::optional<choice> Choose(const need& wanted, instant now) const;
  /// @return predicted duration on a target that is faster than three of four in use, whether it
  ///   has room or not; may be some milliseconds old
  std::optional<duration> FastRun(std::string_view service, duration estimate, instant now) const;
  /// @return whether any target in use could ever hold the task
  bool CouldHold(const need& wanted, instant now) const;

  /// @return how many tasks of this size could start now
  int64_t RoomFor(const need& wanted, instant now) const;

  /// What this entry may count on of the service's targets in use while they are full: an equal
  /// part for each entry that shares them.
  /// @return processor capacity in thousandths of a core of nominal speed
  double ShareOfCapacity(std::string_view service, instant now) const;
  /// @return sessions whose agents were not heard for `limit`
  std::vector<session_id> Silent(duration limit, instant now) const;
  const agent_identity* Agent(session_id session) const;
  std::optional<instant> LastHeard(session_id session) const;
  size_t InUse(instant now) const;

 private:
  struct unseen_order {
    uint64_t order = 0;
    task_resources resources{};
  };
  struct row {
    agent_identity agent;
    session_report report;
    instant heard;
    instant last_trial;
    std::vector<unseen_order> unseen{};
  };

  struct known_speed {
    instant at;
    std::optional<double> slowness{};
  };

  std::optional<double> FastSlowness(std::string_view service, instant now) const;
  bool Usable(const row& target, const need& wanted, instant now) const;
  bool IsFailing(const row& target) const;
  static task_resources FreeNow(const row& target);
  duration WaitAt(const row& target, const need& wanted) const;
  bool MayGetTask(const row& target, const need& wanted, instant now) const;
  double ScoreOf(const row& target, const need& wanted) const;
  bool MeetsObjective(const row& target, const need& wanted, duration wait) const;

  target_table_options options_;
  std::map<session_id, row> rows_;
  std::set<std::string> leaving_domains_;
  /// By service: asked for each job in each turn, and changing slowly.
  mutable std::map<std::string, known_speed, std::less<>> fast_speeds_;
};

}  // namespace wagtail::leased
