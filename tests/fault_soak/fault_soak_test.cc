#include <cstdio>
#include <cstdlib>
#include <string>

#include "tests/fault_soak/soak_cluster.h"
// Included last: CppUTest's macros must not affect the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

std::string TextFromEnvironment(const char* name) {
  const char* text = std::getenv(name);
  return text == nullptr ? "" : text;
}

/// The builds that meta/check_upgrade.sh asks for.
soak_builds BuildsFromEnvironment() {
  using enum soak_builds::replacement;
  std::string order = TextFromEnvironment("WAGTAIL_SOAK_REPLACE");
  return {.entries = TextFromEnvironment("WAGTAIL_SOAK_ENTRY_BIN"),
          .agents = TextFromEnvironment("WAGTAIL_SOAK_AGENT_BIN"),
          .next = TextFromEnvironment("WAGTAIL_SOAK_NEXT_BIN"),
          .replace = order == "entries"  ? kEntriesFirst
                     : order == "agents" ? kAgentsFirst
                                         : kNone};
}

/// Runs one seed and prints totals and violations.
void RunSeed(const soak_options& options) {
  soak_cluster cluster(options);
  std::vector<std::string> violations = cluster.Run();
  run_checker::counts totals = cluster.checker().totals();
  std::printf(
      "seed %lu: %u runs, %u jobs completed, %u failed, %u refused, %u unanswered, %u faults\n",
      static_cast<unsigned long>(options.seed), totals.runs, totals.completed, totals.failed,
      totals.refused, totals.unanswered, cluster.faults());
  for (const std::string& violation : violations) {
    std::printf("seed %lu: %s\n", static_cast<unsigned long>(options.seed), violation.c_str());
  }
  if (violations.empty() && FromEnvironment("WAGTAIL_SOAK_KEEP", 0) == 0) {
    std::filesystem::remove_all(cluster.folder());
  } else {
    std::printf("logs in %s\n", cluster.folder().c_str());
  }
  CHECK_EQUAL(0, violations.size());
  CHECK(totals.completed > 0);
}

}  // namespace

TEST_GROUP(FaultSoak){};

// WAGTAIL_SOAK_SEED selects another seed; see meta/fault_soak.sh.
TEST(FaultSoak, GuaranteesHoldUnderExternalFaults) {
  soak_options options{.seed = FromEnvironment("WAGTAIL_SOAK_SEED", 1)};
  options.entries = FromEnvironment("WAGTAIL_SOAK_ENTRIES", options.entries);
  options.agents = FromEnvironment("WAGTAIL_SOAK_AGENTS", options.agents);
  options.callers = FromEnvironment("WAGTAIL_SOAK_CALLERS", options.callers);
  options.length = std::chrono::seconds(FromEnvironment("WAGTAIL_SOAK_SECONDS", 10));
  options.builds = BuildsFromEnvironment();
  RunSeed(options);
}

}  // namespace wagtail::leased
