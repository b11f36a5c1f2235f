#include "metrics/metric_labels.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"

namespace wagtail {

namespace {

/// Exported values use base units: seconds, bytes and ratios.
constexpr std::array<std::string_view, 9> kDerivedUnits = {
    "_ms",        "_us",        "_milliseconds", "_microseconds", "_minutes",
    "_kilobytes", "_megabytes", "_percent",      "_percentage"};

bool IsNameStart(char c) { return absl::ascii_isalpha(static_cast<unsigned char>(c)) || c == '_'; }

bool IsNamePart(char c) {
  return IsNameStart(c) || absl::ascii_isdigit(static_cast<unsigned char>(c));
}

bool NamesDerivedUnit(std::string_view name) {
  constexpr std::string_view kTotal = "_total";
  if (name.ends_with(kTotal)) {
    name.remove_suffix(kTotal.size());
  }
  return std::ranges::any_of(kDerivedUnits,
                             [&](std::string_view unit) { return name.ends_with(unit); });
}

}  // namespace

bool IsValidMetricName(std::string_view name) {
  if (name.empty() || !(IsNameStart(name.front()) || name.front() == ':')) {
    return false;
  }
  if (!std::ranges::all_of(name, [](char c) { return IsNamePart(c) || c == ':'; })) {
    return false;
  }
  return !NamesDerivedUnit(name);
}

bool IsValidLabelName(std::string_view name) {
  if (name.empty() || !IsNameStart(name.front()) || name.starts_with("__")) {
    return false;
  }
  return std::ranges::all_of(name, IsNamePart);
}

bool AreValidLabels(const metric_labels& labels) {
  if (!std::ranges::all_of(labels, IsValidLabelName, &metric_label::name)) {
    return false;
  }
  return std::ranges::adjacent_find(labels, {}, &metric_label::name) == labels.end();
}

bool HaveSameNames(const metric_labels& left, const metric_labels& right) {
  return std::ranges::equal(left, right, {}, &metric_label::name, &metric_label::name);
}

}  // namespace wagtail
