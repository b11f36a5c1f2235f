#include "tests/soak/sim_target.h"

#include <utility>

namespace wagtail {

namespace {

start_ledger_options OptionsFor(const target_row& row, uint64_t revision, duration id_lifetime) {
  start_ledger_options options;
  options.self = row.incarnation;
  options.announced_revision = revision;
  options.slots = row.slots;
  options.queue_limit = 2;
  options.id_lifetime = id_lifetime;
  return options;
}

}  // namespace

sim_target::sim_target(target_row announced, uint64_t revision, duration id_lifetime,
                       start_ledger::gate_hook gate)
    : row(std::move(announced)),
      revision(revision),
      ledger(OptionsFor(row, revision, id_lifetime), std::move(gate)) {}

}  // namespace wagtail
