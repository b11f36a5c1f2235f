#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "placement/placement.h"

/// @file
/// The settings of a placement object and the function that makes one.

namespace wagtail {

enum class placement_policy {
  kRandom,            ///< any target with room, each as likely
  kRoundRobin,        ///< targets with room in turn
  kLeastOutstanding,  ///< the target with the fewest tasks of this entry
  kExpectedFinish,    ///< the earliest expected finish, or none while waiting is expected to pay
};

/// How run times are learnt.
struct learning_options {
  duration assumed_run = std::chrono::milliseconds(100);  ///< before any result is known
  double min_weight = 0.02;      ///< weight of a new result once many are known, 0 to 1
  double outlier_factor = 8;     ///< a result above this multiple of the typical run counts as that
  uint32_t trusted_results = 8;  ///< results after which a target's own figures replace the mean
  double silence_factor = 4;     ///< a target silent for this many mean runs counts as stalled
  duration probe_interval = std::chrono::seconds(5);       ///< first pause before an idle target is
                                                           ///< given a task to measure it again
  duration max_probe_interval = std::chrono::seconds(60);  ///< pause after fruitless probes
};

/// How a target that is new, admitted again or reachable again gains work.
struct slow_start_options {
  uint32_t initial_window = 2;    ///< tasks of this entry outstanding at first
  double growth_per_success = 1;  ///< tasks added to the window by each success
  duration refusal_pause = std::chrono::milliseconds(50);  ///< first pause after a refusal by a
                                                           ///< target that had room
  duration max_refusal_pause = std::chrono::milliseconds(800);  ///< the pause doubles up to this
};

/// When a failing target is taken out of use.
struct ejection_options {
  double failure_weight = 0.2;       ///< weight of the latest outcome in the failure rate, 0 to 1
  double failure_threshold = 0.5;    ///< failure rate that ejects, 0 to 1
  double margin_over_others = 0.25;  ///< how far the rate must exceed that of the other targets
  uint32_t min_results = 4;          ///< outcomes needed before a target can be ejected
  duration first_ejection = std::chrono::seconds(1);
  duration max_ejection = std::chrono::seconds(30);  ///< ejections double up to this
  double min_serving_slots = 0.5;  ///< fraction of the usable slots of a service never ejected
};

struct placement_options {
  placement_policy policy = placement_policy::kExpectedFinish;
  uint64_t seed = 1;           ///< of tie-breaks and random choices
  uint32_t local_queue = 4;    ///< tasks that a target's daemon accepts beyond its slots
  std::string failure_domain;  ///< of this entry; empty if unknown
  duration round_trip_within =
      std::chrono::microseconds(500);  ///< entry to a target of its own failure domain and back
  duration round_trip = std::chrono::milliseconds(3);  ///< the same to another failure domain
  /// Tasks expected to queue at a target, of all entries, up to which one more is sent there.
  double queue_ahead = 0.5;
  /// How far that rises while a deep backlog waits at this entry, where waiting costs the same.
  double backlog_queue_ahead = 1.5;
  /// Tasks waiting at this entry, per usable slot, that make a deep backlog.
  double deep_backlog = 0.2;
  /// Weight of the expected wait for a faster target. Above 1 because a waiting task also delays
  /// those that come after it.
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
