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
  kStarting,  ///< asked for, not answered
  kInDoubt,   ///< no answer: waits for the fence to make it void
  kRunning,
  kStopping,  ///< stop asked for, its end is not listed yet
};

/// An order without a final word, and what has become of it so far.
struct kept_run {
  run_order order;
  uint32_t number = 0;
  run_state state = run_state::kQueued;
  instant arrived{};
  instant started{};
  uint64_t fence = 0;            ///< that the start carried
  uint64_t renewals_before = 0;  ///< serial of the newest renewal when the start was answered
  instant stop_asked{};
  instant first_stop{};
  bool may_have_run = false;  ///< in an earlier life of the target
  bool unwanted = false;      ///< its entry is gone or gave it up
  std::string reason{};       ///< why it is unwanted
};

/// The orders that a run keeper holds, by its own serial numbers, and what they add up to.
class run_table {
 public:
  using map = std::map<uint64_t, kept_run>;

  kept_run& Add(uint64_t serial, run_order order, instant now);
  /// Removes a run.
  kept_run Take(uint64_t serial);

  map::iterator begin() { return runs_.begin(); }
  map::iterator end() { return runs_.end(); }
  map::const_iterator begin() const { return runs_.begin(); }
  map::const_iterator end() const { return runs_.end(); }
  map::iterator find(uint64_t serial) { return runs_.find(serial); }
  size_t size() const { return runs_.size(); }
  bool empty() const { return runs_.empty(); }

  map::iterator FindOrder(session_id session, uint64_t order);
  /// @return the run that is at the target, or may be, under this name and number
  map::iterator FindAtTarget(const task_ref& task, uint32_t number);

  /// @return serials of what is at the target or may be, being stopped included
  std::vector<uint64_t> AtTarget() const;
  /// @return serials of what waits, in order of arrival
  std::vector<uint64_t> Waiting() const;
  /// @return serials of what an entry ordered and has not given up
  std::vector<uint64_t> WantedBy(session_id session) const;

  /// @return whether a run of this task is at the target or may be
  bool IsAtTarget(const task_ref& task) const;
  bool IsBusy(session_id session) const;
  /// @return whether a stop was asked for longer ago than `limit`
  bool StopOverdue(instant now, duration timeout) const;
  /// @return what those at the target take up
  task_resources Occupied() const;

 private:
  map runs_;
};

}  // namespace wagtail::leased
