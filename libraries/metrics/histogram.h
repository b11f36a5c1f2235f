#pragma once

#include <atomic>
#include <cstdint>
#include <span>
#include <vector>

namespace wagtail {

/// Upper bounds for latencies in seconds, from half a millisecond to ten seconds.
std::span<const double> LatencyBounds();

/// Upper bounds for response time over ideal response time, which is at least 1.
std::span<const double> ResponseRatioBounds();

/// Histogram with fixed buckets. Updates are lock-free.
class histogram {
 public:
  /// Consistent snapshot of a histogram.
  struct reading {
    std::vector<uint64_t> cumulative;  ///< per bound, then the total as the +Inf bucket
    double sum = 0;                    ///< of all observations
    uint64_t count = 0;                ///< equals the last cumulative value
  };

  /// @param bounds upper bounds, inclusive, strictly increasing; +Inf is added
  explicit histogram(std::span<const double> bounds);

  /// Counts one observation; a NaN is dropped.
  void Observe(double value);

  std::span<const double> bounds() const { return bounds_; }

  /// @return bucket counts whose total equals the count; the sum may run slightly ahead or behind
  ///   while other threads observe
  reading Read() const;

 private:
  std::vector<double> bounds_;
  std::vector<std::atomic<uint64_t>> buckets_;
  std::atomic<double> sum_ = 0;
};

}  // namespace wagtail
