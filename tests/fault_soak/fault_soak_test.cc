#include <cstdio>
#include <cstdlib>
#include <string>

#include "tests/fault_soak/soak_cluster.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Plays one seed and prints what was seen.
void Play(const soak_options& options) {
  soak_cluster world(options);
  std::vector<std::string> broken = world.Run();
  run_checker::counts seen = world.watch().seen();
  std::printf(
      "seed %lu: %u runs, %u jobs completed, %u failed, %u refused, %u unanswered, %u faults\n",
      static_cast<unsigned long>(options.seed), seen.runs, seen.completed, seen.failed,
      seen.refused, seen.unanswered, world.faults());
  for (const std::string& what : broken) {
    std::printf("seed %lu: %s\n", static_cast<unsigned long>(options.seed), what.c_str());
  }
  if (broken.empty() && FromEnvironment("WAGTAIL_SOAK_KEEP", 0) == 0) {
    std::filesystem::remove_all(world.folder());
  } else {
    std::printf("logs in %s\n", world.folder().c_str());
  }
  CHECK_EQUAL(0, broken.size());
  CHECK(seen.completed > 0);
}

}  // namespace

TEST_GROUP(FaultSoak){};

// WAGTAIL_SOAK_SEED plays another seed; see meta/fault_soak.sh.
TEST(FaultSoak, GuaranteesHoldUnderExternalFaults) {
  soak_options options{.seed = FromEnvironment("WAGTAIL_SOAK_SEED", 1)};
  options.entries = FromEnvironment("WAGTAIL_SOAK_ENTRIES", options.entries);
  options.agents = FromEnvironment("WAGTAIL_SOAK_AGENTS", options.agents);
  options.callers = FromEnvironment("WAGTAIL_SOAK_CALLERS", options.callers);
  options.length = std::chrono::seconds(FromEnvironment("WAGTAIL_SOAK_SECONDS", 10));
  Play(options);
}

}  // namespace wagtail::leased
