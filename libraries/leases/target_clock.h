#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace wagtail::leased {

/// Conversion between this process's clock and a target's steady clock, in which leases are stated.
/// The target's clock may run slow by up to kMaxDrift.
class target_clock {
 public:
  /// Largest relative error of the target's clock, with a margin for rounding.
  static constexpr double kMaxDrift = 0.03;

  /// Largest difference by which an answer that arrives out of order may lag behind the newest one.
  static constexpr int64_t kMaxReorderingMs = 500;

  /// Records a reading of the target's clock.
  /// @param target_ms time that the target stated
  /// @param received when the reading arrived, at which the target's clock is at `target_ms` or
  ///   later
  void Observe(int64_t target_ms, instant received);

  /// Discards the reading; the next incarnation has another clock.
  void Reset() { observed_.reset(); }

  /// @return whether `target_ms` must come from another incarnation, since its clock counts from
  ///   its own start and this value is too far behind the last reading
  bool IsOfAnotherIncarnation(int64_t target_ms) const;

  bool known() const { return observed_.has_value(); }

  /// @return estimate of the target's time at `now`, in milliseconds of its clock; requires known()
  int64_t TargetTime(instant now) const;

  /// @return the latest time at which the target's clock passes `target_ms`; requires known()
  instant LatestLocalTime(int64_t target_ms) const;

 private:
  struct observation {
    int64_t target_ms = 0;
    instant received;
  };
  std::optional<observation> observed_;
};

}  // namespace wagtail::leased
