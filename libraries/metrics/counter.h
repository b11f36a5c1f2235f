#pragma once

#include <atomic>

#include "base/verify.h"

namespace wagtail {

/// Value that only increases while the process runs. Updates are lock-free.
class counter {
 public:
  /// @param amount increment, never negative
  void Increment(double amount = 1) {
    VERIFY(amount >= 0);
    value_.fetch_add(amount, std::memory_order_relaxed);
  }

  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_ = 0;
};

}  // namespace wagtail
