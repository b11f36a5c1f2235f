#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/target_registry.h"

/// @file
/// Where the tasks of a job can have been started, told from the table's rows alone.

namespace wagtail {

enum class places_knowledge {
  kWhole,           ///< every possible place is listed
  kRegistryBehind,  ///< the registry was read before the id was minted; places may be wanting
};

/// Targets that can have been given a job. A job "did not run" only if all of `present` say so,
/// `lost` is empty and the knowledge is whole.
struct possible_targets {
  std::vector<target_row> present;  ///< still the incarnation that it was; can be asked
  std::vector<std::string> lost;    ///< names of targets whose incarnation of then is gone
  places_knowledge knowledge = places_knowledge::kWhole;
  /// @return whether asking all of `present` can prove that a task did not start
  bool CanProveNotRun() const { return lost.empty() && knowledge == places_knowledge::kWhole; }
};

/// An entry gives a job to incarnations that it knew when it minted the job's id, and to no others.
/// @param registry as known now
/// @param service of the job's tasks
/// @param minted_at registry revision of the owner when it minted the id
/// @param may_be_linked whether the owner can have been linked to a target; empty: to all
possible_targets PossibleTargets(
    const target_registry& registry, std::string_view service, uint64_t minted_at,
    const std::function<bool(std::string_view target)>& may_be_linked = {});

}  // namespace wagtail
