#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "metrics/family.h"

/// @file
/// Metrics of a process with an interface like that of prometheus-cpp, which can't be installed
/// together with ulfius.

namespace wagtail {

/// Owns the families of one process and writes them as text. Thread-safe.
class metrics_registry {
 public:
  metrics_registry() = default;
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;

  /// Finds or adds a family. Names are constants of the program, so an invalid one is a violated
  /// invariant.
  /// @param name valid metric name in base units, ending in _total
  /// @param help one-sentence description
  family<counter>& Counters(std::string_view name, std::string_view help);
  /// @param name valid metric name in base units, not ending in _total
  family<gauge>& Gauges(std::string_view name, std::string_view help);
  /// @param bounds upper bounds of the buckets, strictly increasing
  family<histogram>& Histograms(std::string_view name, std::string_view help,
                                std::span<const double> bounds);

  /// Adds a hook that updates gauges before each exposition.
  void BeforeWrite(std::function<void()> hook);

  /// @return every family in the text exposition format, sorted by name, series by labels
  std::string Write() const;

 private:
  template <typename M>
  family<M>& FindOrAdd(std::string_view name, std::string_view help,
                       std::function<std::unique_ptr<M>()> make);

  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<metric_family>, std::less<>> families_;
  std::vector<std::function<void()>> hooks_;
};

}  // namespace wagtail
