#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "placement/placement.h"

/// @file
/// Options of a placement object and its factory function.

namespace wagtail {

enum class placement_policy {
  kRandom,            ///< any target with capacity, chosen uniformly
  kRoundRobin,        ///< targets with capacity in turn
  kLeastOutstanding,  ///< the target with the fewest outstanding tasks of this entry
  kExpectedFinish,    ///< the earliest expected finish, or none if waiting finishes earlier
};

/// How run times are estimated.
struct learning_options {
  duration assumed_run = std::chrono::milliseconds(100);  ///< used before the first results
  double min_weight = 0.02;      ///< weight of a new result once there are many, 0 to 1
  double outlier_factor = 8;     ///< results are clamped to within this factor of the typical run
  uint32_t trusted_results = 8;  ///< results after which a target's own estimates replace the mean
  double stall_factor = 4;       ///< a target without progress for this many mean runs is stalled
  duration probe_interval = std::chrono::seconds(5);       ///< first interval before an idle target
                                                           ///< is sent a task to measure it again
  duration max_probe_interval = std::chrono::seconds(60);  ///< maximum after unsuccessful probes
};

/// How the load of a target that is new, readmitted or reachable again is raised.
struct slow_start_options {
  uint32_t initial_window = 2;    ///< initial limit of outstanding tasks of this entry
  double growth_per_success = 1;  ///< tasks added to the window by each success
  duration refusal_pause = std::chrono::milliseconds(50);  ///< first pause after a refusal by a
                                                           ///< target that had capacity
  duration max_refusal_pause = std::chrono::milliseconds(800);  ///< the pause doubles up to this
};

/// When a failing target is ejected.
struct ejection_options {
  double failure_weight = 0.2;       ///< weight of the latest outcome in the failure rate, 0 to 1
  double failure_threshold = 0.5;    ///< failure rate above which a target is ejected, 0 to 1
  double margin_over_others = 0.25;  ///< by how much the rate must exceed that of the other targets
  uint32_t min_results = 4;          ///< outcomes needed before a target can be ejected
  duration first_ejection = std::chrono::seconds(1);
  duration max_ejection = std::chrono::seconds(30);  ///< ejection times double up to this
  double min_serving_slots = 0.5;  ///< fraction of a service's usable slots that is never ejected
};

struct placement_options {
  placement_policy policy = placement_policy::kExpectedFinish;
  uint64_t seed = 1;           ///< for tie-breaks and random choices
  uint32_t local_queue = 4;    ///< tasks that a target's daemon accepts beyond its slots
  std::string failure_domain;  ///< of this entry; empty if unknown
  duration round_trip_within =
      std::chrono::microseconds(500);  ///< entry to a target of its own failure domain and back
  duration round_trip = std::chrono::milliseconds(3);  ///< the same to another failure domain
  /// Expected queue length at a target, of all entries, up to which another task is sent to it.
  double queue_ahead = 0.5;
  /// Increase of queue_ahead during a deep backlog at this entry, where waiting costs the same.
  double backlog_queue_ahead = 1.5;
  /// Tasks waiting at this entry, per usable slot, that count as a deep backlog.
  double deep_backlog = 0.2;
  /// Weight of the expected wait for a faster target. Above 1 because a waiting task also delays
  /// the tasks behind it.
  double wait_weight = 6;
  double tie_tolerance = 0.02;  ///< targets within this fraction of the best cost are tied
  learning_options learning;
  slow_start_options slow_start;
  ejection_options ejection;
};

/// @param options see placement_options
/// @return a placement object for one entry; not safe for concurrent use
std::unique_ptr<placement> MakePlacement(const placement_options& options);

}  // namespace wagtail
