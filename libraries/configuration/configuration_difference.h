#pragma once

#include <string>
#include <vector>

#include "configuration/configuration.h"

namespace wagtail {

enum class difference_kind { kAdded, kRemoved, kChanged };

/// One difference between two configurations.
struct configuration_difference {
  difference_kind kind = difference_kind::kChanged;
  std::string path;    ///< JSON pointer, for instance /services/lighting/task_timeout_ms
  std::string before;  ///< for kChanged; tokens are not shown
  std::string after;   ///< for kChanged; tokens are not shown
  bool operator==(const configuration_difference&) const = default;
};

/// @return "+ PATH", "- PATH" or "~ PATH: BEFORE -> AFTER"
std::string ToString(const configuration_difference& difference);

/// Compares values, not layout or comments; ignores versions.
/// @return the differences in the order services, teams, operators, failure domains, leaving marks
std::vector<configuration_difference> DiffConfigurations(const configuration& a,
                                                         const configuration& b);

}  // namespace wagtail
