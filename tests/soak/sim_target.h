#pragma once

#include <memory>
#include <string>

#include "ledger/start_ledger.h"
#include "membership/target_row.h"

namespace wagtail {

/// One life of a target's daemon in the simulated world.
struct sim_target {
  sim_target(target_row announced, uint64_t revision, duration id_lifetime,
             start_ledger::gate_hook gate);

  target_row row;
  uint64_t revision = 0;
  start_ledger ledger;
  bool alive = true;
  bool leaving = false;  ///< as the daemon knows the configuration
};

}  // namespace wagtail
