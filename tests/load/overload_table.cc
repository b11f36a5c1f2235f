#include <cstdio>
#include <cstdlib>
#include <string>

#include "tests/load/overload_workload.h"

/// @file
/// Prints the table of docs/design/12-overload.md: what each policy makes of each load, by kind of
/// job. The argument is the number of seeds; 3 by default.

namespace {

using namespace wagtail::leased;

double Percent(double part, double whole) { return whole > 0 ? 100 * part / whole : 0; }

std::string Cell(const load_result& result) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.1f / %.1f / %.1f / %.1f",
                Percent(result.in_time, result.submitted), Percent(result.late, result.submitted),
                Percent(result.served, result.submitted),
                Percent(result.refused, result.submitted));
  return text;
}

void PrintRow(const std::string& load, const std::string& policy,
              const load_simulation::totals& found) {
  std::printf("| %s | %s |", load.c_str(), policy.c_str());
  for (const char* kind : {"priority 0", "priority 1", "priority 2"}) {
    std::printf(" %s |", Cell(found.kinds.at(kind)).c_str());
  }
  load_result sum = found.Sum();
  std::printf(" %s | %.2f | %u |\n", Cell(sum).c_str(), Percent(found.work_wasted, found.work_done),
              sum.submitted - sum.served - sum.refused);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  constexpr uint64_t kDefaultSeeds = 3;
  uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultSeeds;
  for (int mix : {1, 2}) {
    std::printf("\nMix %d, %% of the jobs in time / late / served / refused, seeds 1 to %d:\n\n",
                mix, static_cast<int>(seeds));
    std::printf(
        "| load | policy | priority 0 | priority 1 | priority 2 | all | work wasted, %% | neither "
        "|\n|---|---|---|---|---|---|---|---|\n");
    for (const overload_load& load : OverloadLoads()) {
      for (const named_policy& policy : OverloadPolicies()) {
        PrintRow(load.name, policy.name,
                 RunOverload(WithPolicy(OverloadSettings(mix, load), policy), seeds));
      }
    }
  }
  return 0;
}
