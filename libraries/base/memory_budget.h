#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

/// @file
/// Budget of the memory that requests of many clients may use together. Thread-safe.

namespace wagtail {

/// Requests of up to this size may use the reserved part of a budget.
inline constexpr size_t kSmallReservationBytes = 16 << 10;

struct memory_budget_options {
  size_t total_bytes = 64 << 20;
  /// Part that larger requests can't use, so that they don't keep out small ones.
  size_t small_reserve_bytes = 8 << 20;
};

class memory_budget {
 public:
  explicit memory_budget(memory_budget_options options);
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  /// Reserves memory.
  /// @param bytes decides which part of the budget is open to the request
  /// @return whether they fit; nothing is reserved otherwise
  bool Reserve(size_t bytes);
  void Release(size_t bytes);

  /// @return the largest reservation that fits when nothing else is held
  size_t largest_bytes() const { return options_.total_bytes - options_.small_reserve_bytes; }
  size_t held_bytes() const { return held_.load(std::memory_order_relaxed); }

 private:
  const memory_budget_options options_;
  std::atomic<size_t> held_ = 0;
};

/// Part of a budget, released on destruction.
class memory_reservation {
 public:
  /// @return the reservation, or null if the budget does not have as much left
  static std::shared_ptr<const memory_reservation> Make(std::shared_ptr<memory_budget> budget,
                                                        size_t bytes);
  ~memory_reservation() { budget_->Release(bytes_); }
  size_t bytes() const { return bytes_; }
  memory_reservation(const memory_reservation&) = delete;
  memory_reservation& operator=(const memory_reservation&) = delete;

 private:
  memory_reservation(std::shared_ptr<memory_budget> budget, size_t bytes);

  const std::shared_ptr<memory_budget> budget_;
  const size_t bytes_;
};

}  // namespace wagtail
