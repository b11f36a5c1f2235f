#pragma once

#include <vector>

#include "placement/placement_options.h"
#include "placement/service_group.h"

/// @file
/// Chooses the target with the earliest expected finish, or none if waiting is expected to finish
/// earlier.

namespace wagtail {

/// Implements placement_policy::kExpectedFinish; stateless.
class expected_finish {
 public:
  explicit expected_finish(const placement_options& options) : options_(options) {}

  target_state* Choose(const choice_request& request) const;

 private:
  /// Expected times of one target, in microseconds.
  struct forecast {
    target_state* target = nullptr;
    double run = 0;        ///< expected run time, weighted for response / ideal
    double mean_run = 0;   ///< mean run time, for the rate at which slots become free
    double finish = 0;     ///< expected time until a task sent now completes
    bool is_open = false;  ///< whether a task may be sent now
  };
  /// Run times of a service across all its targets.
  struct service_run_time {
    double typical = 0;      ///< assumed for a target without enough results; microseconds
    double mean_factor = 1;  ///< mean run / typical run
    double run_factor = 1;   ///< harmonic mean of runs / typical run
    double queue_ahead = 0;  ///< tasks beyond the slots up to which another one is sent
  };

  double QueueAhead(const service_group& group, uint32_t position) const;
  service_run_time RunTimeOf(const service_group& group) const;
  forecast ForecastOf(target_state* target, const service_run_time& service, instant now) const;
  double ExpectedWait(std::span<const forecast> forecasts, const forecast& best,
                      uint32_t position) const;
  double RoundTripTo(const target_state& target) const;
  target_state* BreakTie(std::span<const forecast> forecasts, const forecast& best,
                         std::mt19937_64& random) const;

  placement_options options_;
};

}  // namespace wagtail
