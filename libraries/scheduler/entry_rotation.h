#pragma once

#include "base/time.h"

namespace wagtail::leased {

/// Decides whether the load balancer should send new callers to an entry. Handles an entry whose
/// processor is overloaded for longer than a burst while other entries are not: it takes itself out
/// of rotation and closes some of its connections until its load fits. Reads no clock.
class entry_rotation {
 public:
  struct options {
    /// Time constant of the average over observations.
    duration window = std::chrono::seconds(2);
    /// Upper bound on the weight of one observation: a process that was frozen has observed nothing
    /// in the meantime.
    duration max_step = std::chrono::milliseconds(100);
    /// Share of the time for which the event loop is behind: the entry leaves the rotation at
    /// `leave_share` and returns below `return_share`.
    double leave_share = 0.15;
    double return_share = 0.03;
    /// While out of rotation, every n-th answer closes its caller's connection.
    unsigned answers_per_close = 4;
  };

  explicit entry_rotation(const options& options) : options_(options) {}

  /// Records an observation; call every few milliseconds.
  /// @param behind whether the entry's event loop is behind
  void Observe(bool behind, instant now);
  bool IsOut() const { return out_; }

 private:
  options options_;
  bool out_ = false;
  double share_ = 0;
  instant observed_{};
};

}  // namespace wagtail::leased
