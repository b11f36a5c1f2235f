#include "leases/run_speed.h"

#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr duration kEstimate = std::chrono::milliseconds(100);

}  // namespace

TEST_GROUP(RunSpeed) { run_speed speed; };

TEST(RunSpeed, IsNominalWithoutEvidence) {
  DOUBLES_EQUAL(1.0, speed.slowness(), 1e-9);
  DOUBLES_EQUAL(0.0, speed.failing(), 1e-9);
}

TEST(RunSpeed, LearnsASlowTarget) {
  for (int run = 0; run < 16; ++run) {
    speed.Done(2 * kEstimate, kEstimate);
  }
  CHECK(speed.slowness() > 1.8);
  CHECK(speed.slowness() <= 2.0);
  CHECK_EQUAL(200, ToMilliseconds(speed.mean_run()));
}

TEST(RunSpeed, ForgetsOldRuns) {
  for (int run = 0; run < 16; ++run) {
    speed.Done(6 * kEstimate, kEstimate);
  }
  for (int run = 0; run < 16; ++run) {
    speed.Done(kEstimate, kEstimate);
  }
  DOUBLES_EQUAL(1.0, speed.slowness(), 0.01);
}

TEST(RunSpeed, LongRunsDoNotRaiseTheShortOne) {
  CHECK_EQUAL(0, ToMilliseconds(speed.short_run()));
  for (int run = 0; run < 12; ++run) {
    speed.Done(9 * kEstimate, kEstimate);
  }
  for (int run = 0; run < 5; ++run) {
    speed.Done(kEstimate, kEstimate);
  }
  CHECK_EQUAL(100, ToMilliseconds(speed.short_run()));
}

TEST(RunSpeed, DetectsATargetThatFailsEverything) {
  for (int run = 0; run < 3; ++run) {
    speed.Failed();
  }
  DOUBLES_EQUAL(0.0, speed.failing(), 1e-9);
  speed.Failed();
  DOUBLES_EQUAL(1.0, speed.failing(), 1e-9);
  speed.Reset();
  DOUBLES_EQUAL(0.0, speed.failing(), 1e-9);
}

}  // namespace wagtail::leased
