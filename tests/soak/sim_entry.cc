#include "tests/soak/sim_entry.h"

#include "placement/target_pool.h"

namespace wagtail {

namespace {

dispatcher_options OptionsFor(duration id_life) {
  dispatcher_options options;
  options.jobs.id_life = id_life;
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

sim_entry::sim_entry(uint64_t nonce, uint64_t seed, duration id_life, instant born)
    : self{.nonce = nonce},
      born(born),
      decisions(OptionsFor(id_life), MakePlacement(PlacementFor(seed))) {}

}  // namespace wagtail
