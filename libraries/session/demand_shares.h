#pragma once

#include <chrono>
#include <map>

#include "base/time.h"
#include "leases/run_events.h"

namespace wagtail::leased {

/// Work per time, as a mean that decays exponentially.
class work_rate {
 public:
  explicit work_rate(duration window) : window_(window) {}

  /// @param work in thousandths of a core times microseconds
  void Add(double work, instant now);
  /// @return thousandths of a core
  double Rate(instant now) const;

 private:
  double Decayed(instant now) const;

  duration window_;
  double work_ = 0;  ///< decayed to `at_`
  instant at_{};
};

/// Whether the work that an entry tells is compared beside its orders or instead of them.
enum class asked_work { kBesideOrders, kInPlaceOfOrders };

/// Divides a target among the sessions of its agent by the recent demand of each.
class demand_shares {
 public:
  struct options {
    duration window = std::chrono::seconds(1);
    /// Part of the target that is divided equally, the rest by demand.
    double equal_part = 0.5;
  };

  explicit demand_shares(options options) : options_(options) {}

  void OnSessionOpened(session_id session);
  void OnSessionClosed(session_id session);
  void OnOrdered(session_id session, double work, instant now);
  void SetAsked(session_id session, double rate, asked_work kind);
  /// @return permille of the target, at least 1 for an open session
  unsigned ShareOf(session_id session, instant now) const;

 private:
  struct demand {
    explicit demand(duration window) : orders(window) {}
    double Rate(instant now) const;

    work_rate orders;
    double asked = 0;
    asked_work kind = asked_work::kBesideOrders;
  };

  options options_;
  std::map<session_id, demand> sessions_;
};

}  // namespace wagtail::leased
