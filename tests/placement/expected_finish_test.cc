#include <algorithm>

#include "tests/placement/placement_fixture.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

constexpr duration kFast = std::chrono::milliseconds(100);
constexpr duration kSlow = std::chrono::milliseconds(400);

}  // namespace

TEST_GROUP(ExpectedFinish){};

TEST(ExpectedFinish, WaitsForAFastTargetWhileFewTasksWait) {
  placement_fixture fixture(2);
  fixture.Teach(0, kFast);
  fixture.Teach(1, kSlow);
  fixture.pool.SetWaiting("lights", 1);
  for (uint32_t task = 0; task < placement_fixture::kSlots; ++task) {
    CHECK(fixture.Send() == TargetNamed(0));
  }
  fixture.pool.SetWaiting("lights", 1);
  CHECK(fixture.Send() == std::nullopt);
  CHECK(fixture.pool.NextWake(fixture.now).has_value());
  fixture.pool.SetWaiting("lights", 20);
  CHECK(std::ranges::count(fixture.SendAll(), TargetNamed(1)) > 0);
}

TEST(ExpectedFinish, LimitsAReturnedTargetUntilItSucceeds) {
  placement_fixture fixture(2);
  fixture.Teach(0, kFast);
  fixture.Teach(1, kFast);
  fixture.pool.SetAdmitted(TargetNamed(0), false, fixture.now);
  CHECK(std::ranges::count(fixture.SendAll(), TargetNamed(0)) == 0);
  fixture.pool.SetAdmitted(TargetNamed(0), true, fixture.now);
  const uint32_t first = placement_options{}.slow_start.initial_window;
  LONGS_EQUAL(first, std::ranges::count(fixture.SendAll(), TargetNamed(0)));
  fixture.now += kFast;
  fixture.Finish(TargetNamed(0), kFast);
  LONGS_EQUAL(2, std::ranges::count(fixture.SendAll(), TargetNamed(0)));
}

TEST(ExpectedFinish, PausesATargetThatRefusesDespiteFreeCapacity) {
  placement_fixture fixture(1);
  CHECK(fixture.Send().has_value());
  fixture.pool.OnRefused(TargetNamed(0), {}, fixture.now);
  CHECK(fixture.Send() == std::nullopt);
  fixture.now += placement_options{}.slow_start.refusal_pause;
  CHECK(fixture.Send().has_value());
}

TEST(ExpectedFinish, MeasuresARecoveredStragglerAgain) {
  placement_fixture fixture(2);
  fixture.Teach(0, kFast);
  fixture.Teach(1, 40 * kFast);
  bool is_probed = false;
  for (int step = 0; step < 200 && !is_probed; ++step) {
    const auto picked = fixture.Send();
    fixture.now += kFast;
    is_probed = picked == TargetNamed(1);
    fixture.Finish(*picked, kFast);
  }
  CHECK(is_probed);
}

TEST(ExpectedFinish, AvoidsAnUnresponsiveTarget) {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    placement_options options;
    options.seed = seed;
    placement_fixture fixture(2, options);
    fixture.Teach(0, kFast);
    fixture.Teach(1, kFast);
    fixture.pool.OnSent(TargetNamed(1), fixture.now);
    fixture.now += 20 * kFast;
    for (uint32_t task = 0; task < placement_fixture::kSlots; ++task) {
      CHECK(fixture.Send() == TargetNamed(0));
    }
  }
}

TEST(ExpectedFinish, ForgetsTheLoadOfEntriesThatAreGone) {
  placement_fixture fixture(1);
  const target_load full = {.running = placement_fixture::kSlots, .queued = 2};
  for (int report = 0; report < 200; ++report) {
    fixture.pool.OnSent(TargetNamed(0), fixture.now);
    fixture.pool.OnResult(TargetNamed(0), task_outcome::kCompleted, kFast, full, fixture.now);
  }
  CHECK(fixture.Send() == std::nullopt);
  fixture.now += std::chrono::seconds(30);
  CHECK(fixture.Send().has_value());
}

}  // namespace wagtail
