#include <cstdio>
#include <cstdlib>

#include "tests/soak/simulation.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

void Print(const simulation& world, uint64_t seed) {
  const sim_counts& counts = world.counts();
  std::printf(
      "seed %lu events %lu jobs %lu starts %lu complete %lu not_run %lu may_have_run %lu "
      "entry_kills %lu entry_pauses %lu target_kills %lu domain_kills %lu link_cuts %lu "
      "late_messages %lu lost_messages %lu leaves %lu table_outages %lu recoveries %lu joins %lu "
      "cancels %lu violations %zu\n",
      seed, world.events(), counts.jobs, counts.starts, counts.complete, counts.not_run,
      counts.may_have_run, counts.entry_kills, counts.entry_pauses, counts.target_kills,
      counts.domain_kills, counts.link_cuts, counts.late_messages, counts.lost_messages,
      counts.leaves, counts.table_outages, counts.recoveries, counts.joins, counts.cancels,
      world.violations().size());
  for (const std::string& violation : world.violations()) {
    std::printf("  %s\n", violation.c_str());
  }
}

// Runs seeds one after another until `events` are used up. Returns the number of violations.
size_t RunWorlds(uint64_t events, sim_mutation mutation) {
  constexpr uint64_t kEventsPerWorld = 50'000;
  uint64_t seed = FromEnvironment("WAGTAIL_SOAK_SEED", 1);
  size_t violations = 0;
  for (uint64_t used = 0; used < events; used += kEventsPerWorld, ++seed) {
    simulation world({.seed = seed, .events = kEventsPerWorld, .mutation = mutation});
    world.Run();
    Print(world, seed);
    violations += world.violations().size();
  }
  return violations;
}

}  // namespace

TEST_GROUP(Soak){};

TEST(Soak, NoTaskStartsTwiceAndEveryAnswerIsTrue) {
  uint64_t events = FromEnvironment("WAGTAIL_SOAK_EVENTS", 100'000);
  LONGS_EQUAL(0, RunWorlds(events, sim_mutation::kNone));
}

TEST(Soak, DetectsRecoveryThatIgnoresReplacedTargets) {
  CHECK(RunWorlds(200'000, sim_mutation::kIgnoreLostRecords) > 0);
}

TEST(Soak, DetectsRecoveryWithoutFence) {
  CHECK(RunWorlds(200'000, sim_mutation::kAskWithoutFence) > 0);
}

TEST(Soak, DetectsSettlementWithoutRefusal) {
  CHECK(RunWorlds(200'000, sim_mutation::kSettleWithoutRefusal) > 0);
}

}  // namespace wagtail
