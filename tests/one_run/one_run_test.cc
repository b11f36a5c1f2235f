#include <cstdio>
#include <cstdlib>
#include <string>

#include "tests/one_run/one_run_simulation.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

unsigned FromEnvironment(const char* name, unsigned fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

void CheckSeed(uint64_t seed, one_run_simulation::settings settings) {
  settings.seed = seed;
  one_run_simulation world(settings);
  const one_run_simulation::findings& found = world.Run();
  for (const std::string& broken : found.broken) {
    std::printf("seed %lu: %s\n", static_cast<unsigned long>(seed), broken.c_str());
  }
  CHECK_EQUAL(0, found.broken.size());
  CHECK(found.started > 50);
  CHECK(found.completed > 20);
}

/// @return whether any of some seeds shows that a safeguard is gone
bool IsNoticed(one_run_simulation::settings settings) {
  constexpr uint64_t kSeeds = 60;
  for (settings.seed = 1; settings.seed <= kSeeds; ++settings.seed) {
    one_run_simulation world(settings);
    if (!world.Run().broken.empty()) {
      return true;
    }
  }
  return false;
}

}  // namespace

TEST_GROUP(OneRun){};

TEST(OneRun, NoTaskRunsTwiceAtOnceUnderFaults) {
  unsigned first = FromEnvironment("WAGTAIL_ONE_RUN_FIRST", 1);
  unsigned count = FromEnvironment("WAGTAIL_ONE_RUN_SEEDS", 60);
  for (unsigned seed = first; seed < first + count; ++seed) {
    CheckSeed(seed, {});
  }
}

// Known red: a late order to a life whose id is used again, while the agent is away too, starts in
// a target that has forgotten every fence.
TEST(OneRun, LateOrdersToANewIncarnationUnderTheSameId) {
  unsigned first = FromEnvironment("WAGTAIL_LATE_ORDERS_FIRST", 1000);
  unsigned count = FromEnvironment("WAGTAIL_LATE_ORDERS_SEEDS", 200);
  for (unsigned seed = first; seed < first + count; ++seed) {
    CheckSeed(seed, {.late_orders = 0.2, .targets_keep_ids = true});
  }
}

TEST(OneRun, TargetsThatRestartUnderTheSameId) {
  unsigned first = FromEnvironment("WAGTAIL_ONE_RUN_FIRST", 2000);
  unsigned count = FromEnvironment("WAGTAIL_ONE_RUN_SEEDS", 40);
  for (unsigned seed = first; seed < first + count; ++seed) {
    CheckSeed(seed, {.late_orders = 0, .targets_keep_ids = true});
  }
}

TEST(OneRun, ManyLateOrders) {
  unsigned first = FromEnvironment("WAGTAIL_ONE_RUN_FIRST", 1000);
  unsigned count = FromEnvironment("WAGTAIL_ONE_RUN_SEEDS", 40);
  for (unsigned seed = first; seed < first + count; ++seed) {
    CheckSeed(seed, {.late_orders = 0.2});
  }
}

// The world must notice when the arithmetic of leases and vouching is broken.
TEST(OneRun, DetectsAnAgentWithoutSessionLeases) {
  one_run_simulation::settings settings;
  settings.controller.session_lease = std::chrono::seconds(10);
  settings.link_silence = std::chrono::seconds(10);
  CHECK(IsNoticed(settings));
}

TEST(OneRun, DetectsAnEntryThatDoesNotWaitForLeases) {
  one_run_simulation::settings settings;
  settings.board.session_lease = duration::zero();
  settings.board.lease = duration::zero();
  settings.board.lease_slack = duration::zero();
  CHECK(IsNoticed(settings));
}

}  // namespace wagtail::leased
