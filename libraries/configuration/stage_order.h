#pragma once

#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "configuration/configuration.h"
#include "configuration/configuration_error.h"

namespace wagtail {

/// Services of a job whose tasks may run at the same time.
struct job_stage {
  std::vector<std::string> services;
  bool operator==(const job_stage&) const = default;
};

/// Orders the services that a job uses so that each comes after those it depends on, also where it
/// depends on them through services that the job does not use.
/// @param checked from ParseConfiguration(), so without cycles
/// @param used services of the job, in any order, repetitions allowed
/// @return stages to run one after the other, each sorted by name, or
///   configuration_error::kUnknownService
absl::StatusOr<std::vector<job_stage>> StageOrder(const configuration& checked,
                                                  std::span<const std::string> used);

}  // namespace wagtail
