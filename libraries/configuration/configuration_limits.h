#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "settings/object_reader.h"

/// @file
/// Limits of the operators' text, named in messages and in docs/CONFIGURATION.md.

namespace wagtail {

inline constexpr size_t kMaxConfigurationBytes = 1 << 20;
inline constexpr size_t kMaxServices = 1000;
inline constexpr size_t kMaxDependenciesPerService = 32;
inline constexpr size_t kMaxTeams = 200;
inline constexpr size_t kMaxOperators = 100;
inline constexpr size_t kMaxFailureDomains = 64;
inline constexpr size_t kMaxLeavingTargets = 4096;
/// Applies to every name: services, teams, operators, failure domains, targets, change ids.
inline constexpr size_t kMaxNameBytes = 64;
inline constexpr size_t kTokenDigestDigits = 64;

inline constexpr value_range<uint64_t> kCoresRange = {0, 1024};
inline constexpr value_range<uint64_t> kMemoryMbRange = {0, 16 << 20};
inline constexpr value_range<duration> kExpectedRunRange = {std::chrono::milliseconds(1),
                                                            std::chrono::minutes(10)};
inline constexpr value_range<duration> kTaskTimeoutRange = {std::chrono::milliseconds(10),
                                                            std::chrono::minutes(10)};
inline constexpr value_range<duration> kJobDeadlineRange = {std::chrono::milliseconds(10),
                                                            std::chrono::hours(1)};
inline constexpr value_range<double> kStartsPerSecondRange = {0.1, 1000000};
inline constexpr value_range<uint64_t> kBurstTasksRange = {1, 1000000};
inline constexpr value_range<uint64_t> kTasksInFlightRange = {1, 1000000};

}  // namespace wagtail
