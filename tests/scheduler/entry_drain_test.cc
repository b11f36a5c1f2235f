#include "scheduler/entry_drain.h"

#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr instant kStart{std::chrono::seconds(1000)};
constexpr duration kLimit = std::chrono::milliseconds(5300);

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

}  // namespace

TEST_GROUP(EntryDrain) { entry_drain drain{{}, kStart, kLimit}; };

TEST(EntryDrain, CallersStayWhileTheLoadBalancerMayChooseTheEntry) {
  CHECK(!drain.IdleAgeToClose(kStart + Ms(1999)).has_value());
  CHECK(!drain.IsOver(kStart + Ms(1999), kStart, 0));
  CHECK(drain.IdleAgeToClose(kStart + Ms(2000)).has_value());
}

TEST(EntryDrain, EndsOnceNobodyUsesTheEntry) {
  CHECK(drain.IsOver(kStart + Ms(2000), kStart + Ms(1700), 0));
  CHECK(!drain.IsOver(kStart + Ms(2000), kStart + Ms(1701), 0));
  CHECK(!drain.IsOver(kStart + Ms(4000), kStart + Ms(1700), 1));
}

TEST(EntryDrain, EndsAtItsLimitWhateverIsInProgress) {
  instant end = kStart + kLimit;
  CHECK(drain.end() == end);
  CHECK(!drain.IsOver(end - Ms(1), end - Ms(1), 3));
  CHECK(drain.IsOver(end, end, 3));
}

}  // namespace wagtail::leased
