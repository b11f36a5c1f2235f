#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/target_registry.h"

/// @file
/// Determines which targets can have started the tasks of a job, from the table's rows alone.

namespace wagtail {

enum class registry_coverage {
  kComplete,        ///< every possible target is listed
  kRegistryBehind,  ///< the registry was read before the id was minted; targets may be missing
};

/// Targets that can have received a job. A job provably did not run only if all of `present`
/// confirm that, `lost` is empty and the coverage is complete.
struct possible_targets {
  std::vector<target_row> present;  ///< still the same incarnation; can be queried
  std::vector<std::string> lost;    ///< names of targets whose incarnation of that time is gone
  registry_coverage coverage = registry_coverage::kComplete;
  /// @return whether querying all of `present` can prove that a task did not start
  bool CanProveNotRun() const { return lost.empty() && coverage == registry_coverage::kComplete; }
};

/// An entry sends a job only to incarnations that were in its registry when it minted the job's id.
/// @param registry the current registry
/// @param service service of the job's tasks
/// @param minted_at registry revision of the owner when it minted the id
/// @param may_be_linked whether the owner can have been linked to a target; empty: to all targets
possible_targets PossibleTargets(
    const target_registry& registry, std::string_view service, uint64_t minted_at,
    const std::function<bool(std::string_view target)>& may_be_linked = {});

}  // namespace wagtail
