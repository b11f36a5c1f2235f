#include "leases/target_clock.h"

#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr instant kStart{std::chrono::seconds(1000)};
constexpr duration kSecond = std::chrono::seconds(1);

}  // namespace

TEST_GROUP(TargetClock) { target_clock clock; };

TEST(TargetClock, IsUnknownAtFirst) {
  CHECK(!clock.known());
  CHECK(!clock.IsOfAnotherIncarnation(0));
}

TEST(TargetClock, FollowsTheTargetsTime) {
  clock.Observe(5000, kStart);
  CHECK_EQUAL(5000, clock.TargetTime(kStart));
  CHECK_EQUAL(6000, clock.TargetTime(kStart + kSecond));
}

TEST(TargetClock, AllowsForASlowClock) {
  clock.Observe(5000, kStart);
  instant latest = clock.LatestLocalTime(6000);
  // At 2% slow the target needs 1 / 0.98 s to count one second.
  CHECK(latest - kStart >= std::chrono::microseconds(1'020'409));
}

TEST(TargetClock, AReorderedAnswerDoesNotSetItBack) {
  clock.Observe(5000, kStart);
  clock.Observe(4990, kStart + kSecond);
  CHECK_EQUAL(6000, clock.TargetTime(kStart + kSecond));
}

TEST(TargetClock, DetectsALaterIncarnation) {
  clock.Observe(5000, kStart);
  CHECK(clock.IsOfAnotherIncarnation(100));
  CHECK(!clock.IsOfAnotherIncarnation(4900));
}

}  // namespace wagtail::leased
