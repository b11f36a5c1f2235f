#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "base/time.h"
#include "tests/stand_ins/support/control_reader.h"

namespace wagtail {

/// Behaviour of a target that can be changed at run time.
struct target_behaviour {
  int64_t base_ms = 50;      ///< run time of a task that specifies none
  double slowdown = 1.0;     ///< run times are multiplied by this; 4 is four times as slow
  double jitter = 0.0;       ///< run times vary by up to this fraction either way
  bool fail_all = false;     ///< start every task and answer 500 at once
  double fail_fraction = 0;  ///< this fraction of tasks answers 500 after its run
  bool stall = false;        ///< start tasks but do not answer while true

  /// Overwrites the members that are present.
  void ReadFrom(control_reader& reader);
};

struct target_settings {
  std::string target;
  std::string service;
  std::string address = "127.0.0.1";
  int64_t port = 0;
  std::string daemon_url;  ///< http://IP:PORT of the daemon of the target; empty for none
  int64_t slots = 8;       ///< concurrent tasks; more wait
  int64_t cores = 64;
  int64_t memory_mb = 131'072;
  std::string accelerator;           ///< empty for none
  int64_t jitter_seed = 1;           ///< of run times and of failures by fail_fraction
  int64_t announce_every_ms = 2000;  ///< repeats an accepted announcement; 0 announces once
  target_behaviour behaviour;

  static absl::StatusOr<target_settings> From(control_reader reader);
};

}  // namespace wagtail
