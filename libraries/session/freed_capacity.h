#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "leases/run_events.h"
#include "scheduler/waiting_priority.h"

namespace wagtail::leased {

/// Timing of the offers of freed capacity; docs/design/14-shared-targets.md has the simulations.
struct freed_capacity_options {
  /// How long freed capacity is held back from entries whose waiting jobs are less urgent. Zero
  /// turns offers off. Longer holds serve no more jobs in time, and shorter ones fewer of the
  /// highest priority.
  duration hold = std::chrono::milliseconds(10);
  /// Shortest interval of reports that only offer freed capacity. Each costs the entry processor
  /// time.
  duration report_interval = std::chrono::milliseconds(5);
};

/// Decides which entry learns first of capacity that becomes free on a shared target: the one with
/// the most urgent waiting job, whichever entry's run has ended. Handles full targets, where a
/// less urgent job of the entry that is told first would take the capacity. Has no effect while no
/// entry has told the priorities of its waiting jobs.
class freed_capacity {
 public:
  explicit freed_capacity(freed_capacity_options options) : options_(options) {}

  void OnSessionOpened(session_id session) { waiting_[session] = {}; }
  void OnSessionClosed(session_id session) { waiting_.erase(session); }
  /// Handles what the session's entry told about its waiting jobs.
  void SetWaiting(session_id session, const waiting_priority& waiting);
  /// Notes the free processors of the target, in thousandths of a core. Call before the other
  /// methods whenever they may have changed.
  void Observe(int64_t free_cpu, instant now);

  /// @return thousandths of a core, out of the free ones, not to be offered to this session yet
  int64_t HeldFrom(session_id session) const;
  /// @return whether the session's entry is to learn now of what became free since its last report
  bool IsOfferDue(session_id session, instant last_report, instant now) const;

 private:
  struct freed_amount {
    instant at;
    int64_t cpu = 0;
  };

  bool IsMostUrgent(session_id session) const;
  bool GivesWay(session_id session) const;

  freed_capacity_options options_;
  std::map<session_id, waiting_priority> waiting_;
  std::vector<freed_amount> freed_;  ///< during the last `hold`, in order of time
  int64_t free_cpu_ = 0;
};

}  // namespace wagtail::leased
