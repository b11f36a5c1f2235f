#include <algorithm>

#include "base/verify.h"
#include "policy_bench/model.h"
#include "tests/placement/placement_fixture.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

constexpr duration kRun = std::chrono::milliseconds(100);

model_result RunModel(std::string_view faults, const placement_options& options) {
  auto deployment = FindScenario("kandy", "faster");
  VERIFY(deployment.has_value());
  VERIFY(AddFaults(*deployment, faults));
  deployment->length = std::chrono::seconds(70);
  const auto arrivals = MakeArrivals(*deployment, job_mix::kSmall, 0.7, 4);
  return model(*deployment, arrivals, options).Run();
}

}  // namespace

TEST_GROUP(PlacementFaults){};

TEST(PlacementFaults, QuickFailerAttractsWorkOnlyWithoutEjection) {
  placement_options without;
  without.ejection.failure_threshold = 1;
  const uint64_t failed_without = RunModel("quick-failer", without).failed;
  const uint64_t failed_with = RunModel("quick-failer", {}).failed;
  CHECK(failed_without > 1000);
  CHECK(failed_with < 100);
}

TEST(PlacementFaults, ReturningDomainCostsLittleWork) {
  for (const std::string_view faults : {"leave", "leave-twice", "overlap"}) {
    const model_result result = RunModel(faults, {});
    CHECK(result.work_done >= 0.97 * result.work_possible);
    CHECK(static_cast<double>(result.wasted) <= 0.05 * static_cast<double>(result.ratios.size()));
    LONGS_EQUAL(0, result.failed);
  }
}

TEST(PlacementFaults, EjectionStopsAtMinServingSlots) {
  placement_fixture fixture(6);
  const auto outcome_of = [](const target_incarnation& target) {
    return target == TargetNamed(5) ? task_outcome::kCompleted : task_outcome::kFailed;
  };
  size_t most_ejected = 0;
  for (int round = 0; round < 50; ++round) {
    const auto sent = fixture.SendAll();
    fixture.now += kRun;
    std::ranges::for_each(sent, [&](const target_incarnation& target) {
      fixture.Finish(target, kRun, outcome_of(target));
    });
    size_t ejected = 0;
    for (size_t target = 0; target < 6; ++target) {
      ejected += fixture.pool.IsEjected(TargetNamed(target), fixture.now) ? 1 : 0;
    }
    most_ejected = std::max(most_ejected, ejected);
  }
  LONGS_EQUAL(3, most_ejected);
}

TEST(PlacementFaults, EjectedTargetsServeAgainWhenTheOthersLeave) {
  placement_fixture fixture(4);
  for (int failure = 0; failure < 4; ++failure) {
    fixture.pool.OnSent(TargetNamed(0), fixture.now);
    fixture.Finish(TargetNamed(0), kRun, task_outcome::kFailed);
  }
  CHECK(fixture.pool.IsEjected(TargetNamed(0), fixture.now));
  for (size_t target = 1; target < 4; ++target) {
    fixture.pool.SetAdmitted(TargetNamed(target), false, fixture.now);
  }
  CHECK(fixture.Send() == TargetNamed(0));
}

TEST(PlacementFaults, NoTargetIsEjectedWhenAllFailAlike) {
  placement_fixture fixture(3);
  for (int round = 0; round < 30; ++round) {
    for (size_t target = 0; target < 3; ++target) {
      fixture.pool.OnSent(TargetNamed(target), fixture.now);
      fixture.now += kRun;
      fixture.Finish(TargetNamed(target), kRun, task_outcome::kFailed);
      CHECK_FALSE(fixture.pool.IsEjected(TargetNamed(target), fixture.now) && round > 5);
    }
  }
}

}  // namespace wagtail
