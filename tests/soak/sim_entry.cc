#include "tests/soak/sim_entry.h"

#include "placement/target_pool.h"

namespace wagtail {

namespace {

dispatcher_options OptionsFor(duration id_lifetime) {
  dispatcher_options options;
  options.jobs.id_lifetime = id_lifetime;
  options.jobs.max_jobs = 5000;
  options.waiting.max_tasks = 2000;
  return options;
}

placement_options PlacementFor(uint64_t seed) {
  placement_options options;
  options.seed = seed;
  return options;
}

}  // namespace

sim_entry::sim_entry(uint64_t nonce, uint64_t seed, duration id_lifetime, instant born)
    : self{.nonce = nonce},
      born(born),
      decisions(OptionsFor(id_lifetime), MakePlacement(PlacementFor(seed))) {}

}  // namespace wagtail
