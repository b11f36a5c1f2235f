#include "ledger/owner_clocks.h"

#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

constexpr entry_incarnation kOwner{.nonce = 7};
constexpr instant kStart{std::chrono::seconds(100)};

}  // namespace

TEST_GROUP(OwnerClocks) { owner_clocks clocks{2}; };

TEST(OwnerClocks, AdvancesBetweenMessages) {
  CHECK(clocks.Observe(kOwner, 1000, kStart));
  LONGS_EQUAL(3000, *clocks.UptimeMs(kOwner, kStart + std::chrono::seconds(2)));
}

TEST(OwnerClocks, NeverFallsBehindWhenTheOwnersVmWasFrozen) {
  CHECK(clocks.Observe(kOwner, 1000, kStart));
  instant later = kStart + std::chrono::minutes(10);
  CHECK(clocks.Observe(kOwner, 2000, later));
  LONGS_EQUAL(601'000, *clocks.UptimeMs(kOwner, later));
}

TEST(OwnerClocks, FollowsAnOwnerWhoseClockRunsFaster) {
  CHECK(clocks.Observe(kOwner, 1000, kStart));
  CHECK(clocks.Observe(kOwner, 5000, kStart + std::chrono::seconds(1)));
  LONGS_EQUAL(5000, *clocks.UptimeMs(kOwner, kStart + std::chrono::seconds(1)));
}

TEST(OwnerClocks, RefusesOwnersBeyondItsCapacity) {
  CHECK(clocks.Observe({.nonce = 1}, 0, kStart));
  CHECK(clocks.Observe({.nonce = 2}, 0, kStart));
  CHECK_FALSE(clocks.Observe({.nonce = 3}, 0, kStart));
  CHECK(clocks.Observe({.nonce = 1}, 10, kStart));
}

}  // namespace wagtail
