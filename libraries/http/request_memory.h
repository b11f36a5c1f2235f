#pragma once

#include <atomic>
#include <cstddef>

/// @file
/// Budget of the memory that bodies of open requests may use together. Thread-safe.

namespace wagtail {

/// Requests with bodies up to this size may use the reserved part of the budget.
inline constexpr size_t kSmallBodyBytes = 16 << 10;

struct request_memory_options {
  size_t total_bytes = 64 << 20;
  /// Part that larger bodies can't use, so that unfinished ones don't keep out small requests.
  size_t small_reserve_bytes = 8 << 20;
};

class request_memory {
 public:
  explicit request_memory(request_memory_options options);
  request_memory(const request_memory&) = delete;
  request_memory& operator=(const request_memory&) = delete;

  /// Reserves memory for a body.
  /// @param bytes size of the body, or of its buffer; decides which part of the budget is open to
  /// it
  /// @return whether they fit; nothing is reserved otherwise
  bool Reserve(size_t bytes);
  void Release(size_t bytes);

  /// @return the largest body that fits when nothing else is held
  size_t largest_body_bytes() const { return options_.total_bytes - options_.small_reserve_bytes; }
  size_t held_bytes() const { return held_.load(std::memory_order_relaxed); }

 private:
  const request_memory_options options_;
  std::atomic<size_t> held_ = 0;
};

}  // namespace wagtail
