#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

/// @file
/// Metric names and labels with the rules of the Prometheus data model.

namespace wagtail {

/// One dimension of a series.
struct metric_label {
  std::string name;
  std::string value;  ///< any UTF-8 text, escaped when written
  bool operator==(const metric_label&) const = default;
  // Not defaulted: clang-tidy 14 takes the generated body for a null pointer constant.
  auto operator<=>(const metric_label& other) const {
    return std::tie(name, value) <=> std::tie(other.name, other.value);
  }
};

/// The labels of one series, sorted by name once a family holds them.
using metric_labels = std::vector<metric_label>;

/// @return whether `name` follows [a-zA-Z_:][a-zA-Z0-9_:]* and names no derived unit such as
///   milliseconds or kilobytes
bool IsValidMetricName(std::string_view name);

/// @return whether `name` follows [a-zA-Z_][a-zA-Z0-9_]* and does not begin with the reserved `__`
bool IsValidLabelName(std::string_view name);

/// @param labels labels sorted by name
/// @return whether every name is valid and none occurs twice
bool AreValidLabels(const metric_labels& labels);

/// @param left,right labels sorted by name
/// @return whether both have the same names
bool HaveSameNames(const metric_labels& left, const metric_labels& right);

}  // namespace wagtail
