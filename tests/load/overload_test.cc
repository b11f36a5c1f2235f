#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/load/load_simulation.h"
#include "tests/load/overload_workload.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

/// @file
/// The acceptance criteria of docs/OVERLOAD.md, part A, under load above the capacity.

namespace wagtail::leased {
namespace {

constexpr uint64_t kSeeds = 2;
/// Required in-time share of the highest priority while its own demand fits.
constexpr double kMinInTimeOfHighest = 0.97;
/// Largest share of the work that may be thrown away: races at agents.
constexpr double kMaxWasted = 0.005;
/// The large jobs of a kind are served at least half as often as the whole kind.
constexpr double kMinServedOfWide = 0.5;
/// Largest share of jobs that are neither served nor refused as not run: 1%, as in load_test.cc.
constexpr double kMaxUnanswered = 0.01;
/// Part of what loss_ratio leaves to the lowest priority that it is to get: estimates are off, and
/// targets are not full at every moment.
constexpr double kMinOfComputedShare = 0.5;

overload_load LoadNamed(std::string_view name) {
  std::vector<overload_load> loads = OverloadLoads();
  return *std::ranges::find(loads, name, &overload_load::name);
}

named_policy PolicyNamed(std::string_view name) {
  std::vector<named_policy> policies = OverloadPolicies();
  return *std::ranges::find(policies, name, &named_policy::name);
}

/// @return the results of a policy, which are computed once for all tests
const load_simulation::totals& ResultOf(int mix, const std::string& load,
                                        const std::string& policy = "in use") {
  static std::map<std::string, load_simulation::totals> results;
  std::string key = std::to_string(mix) + " " + load + " " + policy;
  auto found = results.find(key);
  if (found == results.end()) {
    load_simulation::settings settings =
        WithPolicy(OverloadSettings(mix, LoadNamed(load)), PolicyNamed(policy));
    found = results.emplace(key, RunOverload(settings, kSeeds)).first;
  }
  return found->second;
}

/// Prints a measured share beside its bound, and fails if it is out of bounds.
void CheckAtLeast(double bound, double share, const std::string& what) {
  std::printf("%s: %.4f, at least %.4f\n", what.c_str(), share, bound);
  CHECK_TEXT(share >= bound, what.c_str());
}

std::string Title(int mix, const std::string& load, const std::string& what) {
  return "mix " + std::to_string(mix) + " at " + load + ", " + what;
}

void CheckHighestIsInTime(int mix, const std::string& load) {
  CheckAtLeast(kMinInTimeOfHighest, ResultOf(mix, load).kinds.at("priority 0").InTimeShare(),
               Title(mix, load, "priority 0 in time"));
}

void CheckServesAsManyAsFifo(int mix, const std::string& load) {
  CheckAtLeast(ResultOf(mix, load, "first come, first served").Sum().ServedShare(),
               ResultOf(mix, load).Sum().ServedShare(), Title(mix, load, "served"));
}

void CheckNoWorkIsWasted(int mix, const std::string& load) {
  const load_simulation::totals& found = ResultOf(mix, load);
  CheckAtLeast(1 - kMaxWasted, 1 - found.work_wasted / found.work_done,
               Title(mix, load, "work for jobs that completed"));
}

void CheckLargeJobsAreServed(int mix, const std::string& load) {
  const load_simulation::totals& found = ResultOf(mix, load);
  for (const char* kind : {"priority 0", "priority 1", "priority 2"}) {
    CheckAtLeast(kMinServedOfWide * found.kinds.at(kind).ServedShare(),
                 found.kinds.at(kind + std::string(" (wide)")).ServedShare(),
                 Title(mix, load, std::string(kind) + " (wide) served"));
  }
}

void CheckEveryJobIsServedOrRefused(int mix, const std::string& load) {
  load_result sum = ResultOf(mix, load).Sum();
  CheckAtLeast(1 - kMaxUnanswered, static_cast<double>(sum.served + sum.refused) / sum.submitted,
               Title(mix, load, "served or refused"));
}

void CheckRefusalsAreTrue(int mix, const std::string& load) {
  const load_simulation::totals& found = ResultOf(mix, load);
  if (LoadNamed(load).level > 1) {
    CHECK(found.Sum().refused > 0);
  }
  CHECK_EQUAL(0, found.started_of_refused);
}

/// Priority 0 loses nothing, so that the others carry the whole excess; each lower priority loses
/// `loss_ratio` times the share of the one above it.
/// @return share of the jobs of priority 2 that can be served
double ComputedShareOfLowest(int mix, const std::string& load) {
  load_simulation::settings settings = OverloadSettings(mix, LoadNamed(load));
  std::vector<double> work;
  for (const load_kind& kind : settings.kinds) {
    work.push_back(kind.per_second * kind.tasks * ToSeconds(kind.task_time));
  }
  double level = LoadNamed(load).level;
  double excess = (level - 1) / level * (work[0] + work[1] + work[2]);
  double ratio = overload_options{}.loss_ratio;
  return std::max(0.0, 1 - ratio * excess / (work[1] + ratio * work[2]));
}

void CheckLowestIsServed(int mix, const std::string& load) {
  CheckAtLeast(kMinOfComputedShare * ComputedShareOfLowest(mix, load),
               ResultOf(mix, load).kinds.at("priority 2").ServedShare(),
               Title(mix, load, "priority 2 served"));
}

/// @return settings in which all queues have the highest priority
load_simulation::settings WithOnePriority(load_simulation::settings settings) {
  for (load_kind& kind : settings.kinds) {
    kind.priority = 0;
  }
  return settings;
}

bool IsEqual(const load_result& one, const load_result& other) {
  return one.submitted == other.submitted && one.in_time == other.in_time &&
         one.late == other.late && one.refused == other.refused && one.lost == other.lost &&
         one.failed == other.failed && one.served == other.served;
}

void CheckIdentical(const load_simulation::totals& one, const load_simulation::totals& other) {
  CHECK_EQUAL(one.kinds.size(), other.kinds.size());
  for (const auto& [name, result] : one.kinds) {
    CHECK(IsEqual(result, other.kinds.at(name)));
  }
  CHECK(std::ranges::equal(one.seconds, other.seconds, IsEqual));
  CHECK(one.work_done == other.work_done);
  CHECK(one.work_wasted == other.work_wasted);
  CHECK(one.refused_after == other.refused_after);
}

/// Runs a load with the queues at one priority, with the policy in use and with none.
void CheckOnePriorityIsAsWithoutPolicy(int mix, const std::string& load) {
  load_simulation::settings settings = WithOnePriority(OverloadSettings(mix, LoadNamed(load)));
  load_simulation::settings switched_off = settings;
  switched_off.scheduler.overload = nullptr;  // a call would throw
  switched_off.scheduler.reserved_share = 0;
  switched_off.scheduler.min_spare_share = 0;
  load_simulation with(settings);
  load_simulation without(switched_off);
  const load_simulation::totals& found = with.Run();
  CHECK(found.Sum().submitted > 0);
  CheckIdentical(found, without.Run());
}

/// In-time share of a kind with each seed.
struct spread {
  double min = 1;
  double max = 0;
};

std::map<std::string, spread> InTimeSpread(load_simulation::settings settings) {
  constexpr uint64_t kSpreadSeeds = 4;
  std::map<std::string, spread> found;
  for (settings.seed = 1; settings.seed <= kSpreadSeeds; ++settings.seed) {
    load_simulation simulation(settings);
    for (const auto& [name, result] : simulation.Run().kinds) {
      spread& range = found[name];
      range.min = std::min(range.min, result.InTimeShare());
      range.max = std::max(range.max, result.InTimeShare());
    }
  }
  return found;
}

/// With room left, the in-time shares with priorities overlap those with one priority.
void CheckPrioritiesChangeNothingWithRoomLeft(int mix) {
  load_simulation::settings settings = OverloadSettings(mix, {.name = "0.5", .level = 0.5});
  settings.length = std::chrono::seconds(5);
  std::map<std::string, spread> one_priority = InTimeSpread(WithOnePriority(settings));
  for (const auto& [name, range] : InTimeSpread(settings)) {
    const spread& other = one_priority.at(name);
    std::printf("mix %d at 0.5, %s: %.4f to %.4f in time, %.4f to %.4f with one priority\n", mix,
                name.c_str(), range.min, range.max, other.min, other.max);
    CHECK(range.min <= other.max);
    CHECK(range.max >= other.min);
  }
}

}  // namespace

/// Defines a test of each load, so that a load for which a check fails hides no other one.
// NOLINTNEXTLINE(cppcoreguidelines-macro-usage)
#define TEST_AT_EACH_LOAD(name, check, mix)                 \
  TEST(Overload, name##At90Percent) { check(mix, "0.9"); }  \
  TEST(Overload, name##At110Percent) { check(mix, "1.1"); } \
  TEST(Overload, name##At150Percent) { check(mix, "1.5"); } \
  TEST(Overload, name##At200Percent) { check(mix, "2"); }   \
  TEST(Overload, name##InABurst) { check(mix, "burst"); }

TEST_GROUP(Overload){};

// Guards against jobs of the highest priority that wait behind lower ones, or are refused for them.
TEST_AT_EACH_LOAD(HighestPriorityIsInTimeInMix1, CheckHighestIsInTime, 1)
TEST_AT_EACH_LOAD(HighestPriorityIsInTimeInMix2, CheckHighestIsInTime, 2)

// Refusing jobs must not cost more callers their answers than letting all of them wait.
TEST_AT_EACH_LOAD(ServesAsManyAsFirstComeFirstServedInMix1, CheckServesAsManyAsFifo, 1)
TEST_AT_EACH_LOAD(ServesAsManyAsFirstComeFirstServedInMix2, CheckServesAsManyAsFifo, 2)

// A job that begins and does not end before its caller's deadline takes capacity from all others.
TEST_AT_EACH_LOAD(NoWorkIsThrownAwayInMix1, CheckNoWorkIsWasted, 1)
TEST_AT_EACH_LOAD(NoWorkIsThrownAwayInMix2, CheckNoWorkIsWasted, 2)

// The same callers would always be refused if a job's size decided.
TEST_AT_EACH_LOAD(LargestJobsOfEachKindAreServedInMix1, CheckLargeJobsAreServed, 1)
TEST_AT_EACH_LOAD(LargestJobsOfEachKindAreServedInMix2, CheckLargeJobsAreServed, 2)

// A caller whose job is refused as not run sends it again, so that a task of it would run twice.
TEST_AT_EACH_LOAD(NoTaskOfARefusedJobRunsInMix1, CheckRefusalsAreTrue, 1)
TEST_AT_EACH_LOAD(NoTaskOfARefusedJobRunsInMix2, CheckRefusalsAreTrue, 2)

TEST_AT_EACH_LOAD(EveryJobIsServedOrRefusedInMix1, CheckEveryJobIsServedOrRefused, 1)
TEST_AT_EACH_LOAD(EveryJobIsServedOrRefusedInMix2, CheckEveryJobIsServedOrRefused, 2)

// The lowest priority would starve if it alone carried the excess.
TEST(Overload, LowestPriorityIsNotStarvedInMix1At150Percent) { CheckLowestIsServed(1, "1.5"); }
TEST(Overload, LowestPriorityIsNotStarvedInMix1At200Percent) { CheckLowestIsServed(1, "2"); }
TEST(Overload, LowestPriorityIsNotStarvedInMix2At150Percent) { CheckLowestIsServed(2, "1.5"); }
TEST(Overload, LowestPriorityIsNotStarvedInMix2At200Percent) { CheckLowestIsServed(2, "2"); }

// The policy is opt-in: with one priority, deployments are served exactly as before it was added.
TEST(Overload, QueuesOfOnePriorityAreServedAsWithoutThePolicyInMix1) {
  for (const char* load : {"0.9", "1.5", "burst"}) {
    CheckOnePriorityIsAsWithoutPolicy(1, load);
  }
}

TEST(Overload, QueuesOfOnePriorityAreServedAsWithoutThePolicyInMix2) {
  for (const char* load : {"0.9", "1.5", "burst"}) {
    CheckOnePriorityIsAsWithoutPolicy(2, load);
  }
}

TEST(Overload, PrioritiesChangeNothingWithRoomLeftInMix1) {
  CheckPrioritiesChangeNothingWithRoomLeft(1);
}

TEST(Overload, PrioritiesChangeNothingWithRoomLeftInMix2) {
  CheckPrioritiesChangeNothingWithRoomLeft(2);
}

}  // namespace wagtail::leased
