#pragma once

#include <algorithm>

namespace wagtail::leased {

/// Part of each target that is left to jobs of the highest priority while targets are nearly full.
/// Entries do not see each other's queues, and whichever is first takes what is free: without a
/// reserve an urgent job waits for jobs of other entries. The reserve follows the need: it grows
/// with each urgent job that begins too late to meet its objective, and shrinks with each other
/// one.
class priority_reserve {
 public:
  struct options {
    double min_share = 0.02;
    double max_share = 0.12;
    double growth = 0.02;  ///< added for each urgent job that begins late or is refused
    /// Subtracted for each that begins in time. The reserve is steady when 97% of them do.
    double decay = 0.0006;
  };

  explicit priority_reserve(options options) : options_(options), share_(options_.min_share) {}

  /// Counts a job of the highest priority that has begun or was refused.
  void OnBegun(bool in_time) {
    double changed = share_ + (in_time ? -options_.decay : options_.growth);
    share_ = std::clamp(changed, options_.min_share, options_.max_share);
  }

  /// @return share of each target's capacity that other jobs leave free
  double share() const { return share_; }

 private:
  options options_;
  double share_;
};

}  // namespace wagtail::leased
