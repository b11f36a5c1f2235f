#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "dispatch/dispatcher.h"
#include "membership/target_registry.h"

namespace wagtail {

/// One life of an entry in the simulated world.
struct sim_entry {
  sim_entry(uint64_t nonce, uint64_t seed, duration id_lifetime, instant born);

  /// A connection to one life of a target's daemon.
  struct link {
    uint64_t generation = 0;  ///< grows with each connection
    bool up = false;
  };

  uint64_t UptimeMs(instant now) const { return static_cast<uint64_t>(ToMilliseconds(now - born)); }

  entry_incarnation self;
  instant born;
  bool alive = true;
  bool paused = false;
  uint64_t sequence = 0;
  dispatcher decisions;
  target_registry registry;
  std::map<target_incarnation, link> links;
};

}  // namespace wagtail
