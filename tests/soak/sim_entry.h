#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "dispatch/dispatcher.h"
#include "membership/target_registry.h"

namespace wagtail {

/// One incarnation of an entry in the simulation.
struct sim_entry {
  sim_entry(uint64_t nonce, uint64_t seed, duration id_lifetime, instant started_at);

  /// A connection to one incarnation of a target's daemon.
  struct link {
    uint64_t generation = 0;  ///< incremented for each connection
    bool up = false;
  };

  uint64_t UptimeMs(instant now) const {
    return static_cast<uint64_t>(ToMilliseconds(now - started_at));
  }

  entry_incarnation self;
  instant started_at;
  bool alive = true;
  bool paused = false;
  uint64_t sequence = 0;
  dispatcher dispatch;
  target_registry registry;
  std::map<target_incarnation, link> links;
};

}  // namespace wagtail
