#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "leases/run_events.h"

namespace wagtail::leased {

enum class run_state {
  kQueued,
  kStarting,  ///< start sent, not answered
  kInDoubt,   ///< outcome unknown: waits until the target lists it or a higher fence voids it
  kRunning,
  kStopping,  ///< stop sent, end not listed yet
};

/// Order without a final result, and the state of its run.
struct tracked_run {
  run_order order;
  uint32_t number = 0;
  run_state state = run_state::kQueued;
  instant arrived{};
  instant started{};
  uint64_t fence = 0;            ///< fence that the start carried
  uint64_t renewals_before = 0;  ///< serial of the newest renewal when the start was answered
  instant last_stop{};
  instant first_stop{};
  bool may_have_run = false;             ///< in an earlier incarnation of the target
  crash_role crash = crash_role::kNone;  ///< in the end of an earlier incarnation
  bool stop_requested = false;  ///< by its entry, by the end of the session, or by the controller
  std::string reason{};         ///< why the stop was requested
};

/// Table of the orders of a run controller, by the controller's serial numbers, with totals.
class run_table {
 public:
  using map = std::map<uint64_t, tracked_run>;

  tracked_run& Add(uint64_t serial, run_order order, instant now);
  /// Removes a run.
  tracked_run Take(uint64_t serial);

  map::iterator begin() { return runs_.begin(); }
  map::iterator end() { return runs_.end(); }
  map::const_iterator begin() const { return runs_.begin(); }
  map::const_iterator end() const { return runs_.end(); }
  map::iterator find(uint64_t serial) { return runs_.find(serial); }
  size_t size() const { return runs_.size(); }
  bool empty() const { return runs_.empty(); }

  map::iterator FindOrder(session_id session, uint64_t order);
  /// @return the run of this task and number that is, or may be, at the target
  map::iterator FindAtTarget(const task_ref& task, uint32_t number);

  /// @return serials of the runs that are, or may be, at the target, including those being stopped
  std::vector<uint64_t> AtTarget() const;
  /// @return serials of the waiting orders, in order of arrival
  std::vector<uint64_t> Waiting() const;
  /// @return serials of the orders of a session for which no stop has been requested
  std::vector<uint64_t> ActiveOrders(session_id session) const;

  /// @return whether a run of this task is, or may be, at the target
  bool IsAtTarget(const task_ref& task) const;
  bool IsBusy(session_id session) const;
  /// @return whether any stop has been unconfirmed for longer than `timeout`
  bool StopOverdue(instant now, duration timeout) const;
  /// @param capacity of the target
  /// @return resources occupied by the runs at the target
  task_resources OccupiedResources(const task_resources& capacity) const;

 private:
  map runs_;
};

}  // namespace wagtail::leased
