#pragma once

#include "base/time.h"

namespace wagtail::leased {

/// Whether the balancer should bring new callers to an entry. Answers an entry whose processor
/// can't keep up for longer than a burst, beside entries that can: it asks for no new connections,
/// and lets go of some that it has, until its own load fits. Free of clocks.
class entry_rotation {
 public:
  struct options {
    /// How long observations are averaged over.
    duration window = std::chrono::seconds(2);
    /// One observation counts for no more than this: a process that was frozen has seen nothing.
    duration longest_step = std::chrono::milliseconds(100);
    /// Share of the time for which the entry is behind: leaves from the first on, comes back below
    /// the second.
    double leave = 0.15;
    double come_back = 0.03;
    /// While it is out every so many answers end their caller's connection.
    unsigned answers_per_close = 4;
  };

  explicit entry_rotation(const options& options) : options_(options) {}

  /// To be called every few milliseconds.
  /// @param behind whether the entry's loop is
  void Observe(bool behind, instant now);
  bool IsOut() const { return out_; }

 private:
  options options_;
  bool out_ = false;
  double share_ = 0;
  instant observed_{};
};

}  // namespace wagtail::leased
