#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace wagtail::leased {

/// Converts between this process's clock and a target's steady clock, in which leases are stated.
/// The target's clock may run slow by up to kMaxDrift.
class target_clock {
 public:
  /// Largest relative error of the target's clock, with room for rounding.
  static constexpr double kMaxDrift = 0.03;

  /// How far an answer that was overtaken by others may lie behind them, in milliseconds.
  static constexpr int64_t kOvertaken = 500;

  /// Takes note of the target's time.
  /// @param target_ms as the target stated it
  /// @param received when the statement arrived; the target's clock is at `target_ms` or past it
  void Observe(int64_t target_ms, instant received);

  /// Forgets the target; the next life has another clock.
  void Reset() { observed_.reset(); }

  /// @return whether a clock that shows `target_ms` can't be the one observed so far: a later life
  ///   of the target counts from its own start
  bool IsOfAnotherIncarnation(int64_t target_ms) const;

  bool known() const { return observed_.has_value(); }

  /// @return about the target's time at `now`, in its milliseconds; only when known
  int64_t TargetTime(instant now) const;

  /// @return the latest moment at which the target's clock passes `target_ms`; only when known
  instant LatestLocalTime(int64_t target_ms) const;

 private:
  struct observation {
    int64_t target_ms = 0;
    instant received;
  };
  std::optional<observation> observed_;
};

}  // namespace wagtail::leased
