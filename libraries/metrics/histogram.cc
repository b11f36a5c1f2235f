#include "metrics/histogram.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <numeric>

#include "base/verify.h"

namespace wagtail {

namespace {

constexpr std::array kLatencyBounds = {0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1,
                                       0.2,    0.3,   0.5,   0.75,  1.0,  2.0,   5.0,  10.0};
constexpr std::array kResponseRatioBounds = {1.01, 1.02, 1.05, 1.1, 1.2, 1.35, 1.5,
                                             1.75, 2.0,  2.5,  3.0, 5.0, 10.0, 20.0};

bool AreStrictlyIncreasing(std::span<const double> bounds) {
  return std::ranges::adjacent_find(bounds, std::greater_equal<>()) == bounds.end();
}

}  // namespace

std::span<const double> LatencyBounds() { return kLatencyBounds; }

std::span<const double> ResponseRatioBounds() { return kResponseRatioBounds; }

histogram::histogram(std::span<const double> bounds)
    : bounds_(bounds.begin(), bounds.end()), buckets_(bounds.size() + 1) {
  VERIFY(AreStrictlyIncreasing(bounds));
}

void histogram::Observe(double value) {
  if (std::isnan(value)) {
    return;
  }
  auto bound = std::ranges::lower_bound(bounds_, value);
  auto index = static_cast<size_t>(bound - bounds_.begin());
  buckets_[index].fetch_add(1, std::memory_order_relaxed);
  sum_.fetch_add(value, std::memory_order_relaxed);
}

histogram::reading histogram::Read() const {
  reading result;
  result.cumulative.resize(buckets_.size());
  std::ranges::transform(buckets_, result.cumulative.begin(),
                         [](const auto& bucket) { return bucket.load(std::memory_order_relaxed); });
  std::partial_sum(result.cumulative.begin(), result.cumulative.end(), result.cumulative.begin());
  result.count = result.cumulative.back();
  result.sum = sum_.load(std::memory_order_relaxed);
  return result;
}

}  // namespace wagtail
