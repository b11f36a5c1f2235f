#include <cstdio>
#include <cstdlib>
#include <string>

#include "tests/one_run/one_run_simulation.h"

// Included last, since its macros must not affect other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

unsigned FromEnvironment(const char* name, unsigned fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

void CheckSeed(uint64_t seed, one_run_simulation::settings settings) {
  settings.seed = seed;
  one_run_simulation simulation(settings);
  const one_run_simulation::findings& found = simulation.Run();
  for (const std::string& violation : found.violations) {
    std::printf("seed %lu: %s\n", static_cast<unsigned long>(seed), violation.c_str());
  }
  CHECK_EQUAL(0, found.violations.size());
  CHECK(found.started > 50);
  CHECK(found.completed > 20);
}

/// @return whether any of 60 seeds detects that a safeguard is missing
bool DetectsViolation(one_run_simulation::settings settings) {
  constexpr uint64_t kSeeds = 60;
  for (settings.seed = 1; settings.seed <= kSeeds; ++settings.seed) {
    one_run_simulation simulation(settings);
    if (!simulation.Run().violations.empty()) {
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

// Known red: a late order starts on a restarted target that keeps its id, while its agent is down
// or frozen, since the new incarnation has no record of earlier fences.
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

// The simulation must detect wrong durations of target leases and session leases.
TEST(OneRun, DetectsAnAgentWithoutSessionLeases) {
  one_run_simulation::settings settings;
  settings.controller.session_lease = std::chrono::seconds(10);
  settings.link_timeout = std::chrono::seconds(10);
  CHECK(DetectsViolation(settings));
}

TEST(OneRun, DetectsAnEntryThatDoesNotWaitForLeases) {
  one_run_simulation::settings settings;
  settings.scheduler.session_lease = duration::zero();
  settings.scheduler.lease = duration::zero();
  settings.scheduler.lease_slack = duration::zero();
  CHECK(DetectsViolation(settings));
}

}  // namespace wagtail::leased
