#pragma once

#include <atomic>

namespace wagtail {

/// Value that increases and decreases. Updates are lock-free.
class gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  void Increment(double amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
  void Decrement(double amount = 1) { value_.fetch_sub(amount, std::memory_order_relaxed); }

  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_ = 0;
};

}  // namespace wagtail
