#pragma once

#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "configuration/configuration.h"
#include "configuration/configuration_error.h"

namespace wagtail {

/// Services of a job whose tasks may run concurrently.
struct job_stage {
  std::vector<std::string> services;
  bool operator==(const job_stage&) const = default;
};

/// Sorts the services that a job uses into stages so that each follows its dependencies, including
/// transitive ones through services that the job does not use.
/// @param checked result of ParseConfiguration(), hence acyclic
/// @param used services of the job, in any order, duplicates allowed
/// @return stages to run in sequence, each sorted by name, or
///   configuration_error::kUnknownService
absl::StatusOr<std::vector<job_stage>> StageOrder(const configuration& checked,
                                                  std::span<const std::string> used);

}  // namespace wagtail
