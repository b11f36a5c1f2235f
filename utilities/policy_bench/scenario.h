#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

/// @file
/// Deployments, arrivals and faults that the policies are compared on.

namespace wagtail {

struct model_target {
  uint32_t domain = 0;
  uint32_t slots = 8;
  double speed = 1;  ///< multiple of the slowest machine's speed
};

enum class fault_kind {
  kLeave,      ///< operators mark a failure domain as leaving
  kReturn,     ///< operators mark it as returning
  kQuickFail,  ///< a target fails every task within milliseconds
  kSlow,       ///< a target runs ten times slower
  kSilent,     ///< a target accepts tasks and answers none until their timeout
  kRecover,    ///< a target behaves again
};

/// How many tasks the jobs have.
enum class job_mix {
  kSmall,  ///< 1 to 4
  kMixed,  ///< 1 to 64, so that load comes in bursts
};

struct fault {
  duration at{};
  fault_kind kind = fault_kind::kLeave;
  uint32_t subject = 0;  ///< domain for kLeave and kReturn, otherwise target
};

struct task_arrival {
  duration at{};
  uint32_t entry = 0;  ///< entry `n` stands in failure domain `n` modulo the domains
  duration size{};     ///< run time on a machine of speed 1
};

struct scenario {
  std::string name;
  uint32_t domains = 3;
  uint32_t entries = 3;
  duration delay_within{};   ///< one way, inside a failure domain
  duration delay_between{};  ///< one way, between failure domains
  duration length = std::chrono::seconds(90);
  duration warm_up = std::chrono::seconds(15);  ///< arrivals before this are not measured
  uint32_t local_queue = 4;
  std::vector<model_target> targets;
  std::vector<fault> faults;

  duration Delay(uint32_t entry, uint32_t target) const;
  /// @return run time of a task of `size` on the fastest target, plus the round trip to the nearest
  ///         target of that speed: what the task would take from this entry with nothing else there
  duration Ideal(const task_arrival& task) const;
  /// @return seconds of work on a machine of speed 1 that all targets together do in a second
  double Capacity() const;
};

/// @param name kandy or jutland
/// @param mix faster or slower
/// @return nothing if either is unknown
std::optional<scenario> FindScenario(std::string_view name, std::string_view mix);

/// Adds the faults of a named case: none, leave, leave-twice, overlap, quick-failer, straggler or
/// silent.
/// @return whether the name is known
bool AddFaults(scenario& scenario, std::string_view name);

/// @param load offered work as a fraction of the capacity of all targets
/// @return Poisson arrivals of jobs with mixed numbers of tasks and mixed sizes, in order of time
std::vector<task_arrival> MakeArrivals(const scenario& scenario, job_mix jobs, double load,
                                       uint64_t seed);

}  // namespace wagtail
