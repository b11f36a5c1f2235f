#pragma once

#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "wagtail_load/run_report.h"

namespace wagtail {

/// One figure of two runs.
struct compared_figure {
  std::string name;
  double first = 0;
  double second = 0;
  /// second / first; absent when first is zero.
  std::optional<double> Ratio() const;
};

/// Sets the main figures of two runs side by side.
/// @return the figures, or load_error::kDifferentScenarios naming what differs
absl::StatusOr<std::vector<compared_figure>> Compare(const run_report& first,
                                                     const run_report& second);

/// @return the figures as a Markdown table under both origins
std::string ToMarkdown(const std::vector<compared_figure>& figures, const run_report& first,
                       const run_report& second);

}  // namespace wagtail
