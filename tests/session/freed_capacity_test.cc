#include "session/freed_capacity.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr session_id kFirst = 1;
constexpr session_id kSecond = 2;
constexpr session_id kThird = 3;
constexpr instant kStart{std::chrono::seconds(100)};

instant After(int64_t ms) { return kStart + std::chrono::milliseconds(ms); }

waiting_priority Waits(unsigned priority) { return {.told = true, .highest = priority}; }

}  // namespace

TEST_GROUP(FreedCapacity) {
  freed_capacity freed{
      {.hold = std::chrono::milliseconds(10), .report_interval = std::chrono::milliseconds(5)}};

  void setup() override {
    freed.OnSessionOpened(kFirst);
    freed.OnSessionOpened(kSecond);
    freed.Observe(0, After(0));
  }
};

// Without this, the entry whose run has ended takes the capacity for a job of a lower priority.
TEST(FreedCapacity, IsHeldBackFromTheLessUrgentEntry) {
  freed.SetWaiting(kFirst, Waits(1));
  freed.SetWaiting(kSecond, Waits(0));
  freed.Observe(6900, After(20));
  CHECK_EQUAL(6900, freed.HeldFrom(kFirst));
  CHECK_EQUAL(0, freed.HeldFrom(kSecond));
  CHECK(!freed.IsOfferDue(kFirst, After(0), After(20)));
  CHECK(freed.IsOfferDue(kSecond, After(0), After(20)));
}

// An entry without waiting jobs would take it for the next job that arrives.
TEST(FreedCapacity, IsHeldBackFromAnEntryWithoutWaitingJobs) {
  freed.SetWaiting(kFirst, {.told = true, .highest = std::nullopt});
  freed.SetWaiting(kSecond, Waits(2));
  freed.Observe(100, After(20));
  CHECK_EQUAL(100, freed.HeldFrom(kFirst));
}

// Capacity that the urgent entry does not take must not stay idle.
TEST(FreedCapacity, IsHeldBackOnlyForAWhile) {
  freed.SetWaiting(kFirst, Waits(1));
  freed.SetWaiting(kSecond, Waits(0));
  freed.Observe(6900, After(20));
  freed.Observe(6900, After(29));
  CHECK_EQUAL(6900, freed.HeldFrom(kFirst));
  freed.Observe(6900, After(30));
  CHECK_EQUAL(0, freed.HeldFrom(kFirst));
}

// Capacity that was free before is open to all entries, as is what is no longer free.
TEST(FreedCapacity, HoldsBackNoMoreThanWasFreedAndIsFree) {
  freed.SetWaiting(kFirst, Waits(1));
  freed.SetWaiting(kSecond, Waits(0));
  freed.Observe(1000, After(0));
  freed.Observe(1500, After(20));
  CHECK_EQUAL(500, freed.HeldFrom(kFirst));
  freed.Observe(200, After(21));
  CHECK_EQUAL(200, freed.HeldFrom(kFirst));
  freed.Observe(-100, After(22));
  CHECK_EQUAL(0, freed.HeldFrom(kFirst));
}

// Entries of the previous version tell nothing, and are served as before beside newer ones.
TEST(FreedCapacity, IsNotHeldBackFromAnEntryThatTellsNothing) {
  freed.SetWaiting(kSecond, Waits(0));
  freed.Observe(6900, After(20));
  CHECK_EQUAL(0, freed.HeldFrom(kFirst));
  CHECK(!freed.IsOfferDue(kFirst, After(0), After(20)));
}

// Services whose queues have one priority are served as before.
TEST(FreedCapacity, IsOfferedAsBeforeWhileNoEntryTells) {
  freed.Observe(6900, After(20));
  CHECK_EQUAL(0, freed.HeldFrom(kFirst));
  CHECK(!freed.IsOfferDue(kFirst, After(0), After(20)));
  CHECK(!freed.IsOfferDue(kSecond, After(0), After(20)));
}

// An entry that is gone would hold capacity back from the others for good.
TEST(FreedCapacity, IsNotHeldForAClosedSession) {
  freed.SetWaiting(kFirst, Waits(1));
  freed.SetWaiting(kSecond, Waits(0));
  freed.Observe(6900, After(20));
  freed.OnSessionClosed(kSecond);
  CHECK_EQUAL(0, freed.HeldFrom(kFirst));
  freed.SetWaiting(kSecond, Waits(0));  // a message that was still under way
  CHECK_EQUAL(0, freed.HeldFrom(kFirst));
}

TEST(FreedCapacity, EntriesOfTheSamePriorityAreToldTogether) {
  freed.OnSessionOpened(kThird);
  freed.SetWaiting(kFirst, Waits(1));
  freed.SetWaiting(kSecond, Waits(1));
  freed.SetWaiting(kThird, Waits(2));
  freed.Observe(6900, After(20));
  CHECK_EQUAL(0, freed.HeldFrom(kFirst));
  CHECK_EQUAL(0, freed.HeldFrom(kSecond));
  CHECK_EQUAL(6900, freed.HeldFrom(kThird));
  CHECK(freed.IsOfferDue(kFirst, After(0), After(20)));
  CHECK(freed.IsOfferDue(kSecond, After(0), After(20)));
}

// Each report costs the entry processor time.
TEST(FreedCapacity, OffersAreLimitedByTheInterval) {
  freed.SetWaiting(kSecond, Waits(0));
  freed.Observe(6900, After(20));
  CHECK(!freed.IsOfferDue(kSecond, After(16), After(20)));
  CHECK(freed.IsOfferDue(kSecond, After(16), After(21)));
  CHECK(!freed.IsOfferDue(kSecond, After(21), After(28)));  // told already
}

TEST(FreedCapacity, AHoldOfZeroTurnsOffersOff) {
  freed_capacity off({.hold = duration::zero(), .report_interval = duration::zero()});
  off.OnSessionOpened(kFirst);
  off.OnSessionOpened(kSecond);
  off.SetWaiting(kFirst, Waits(1));
  off.SetWaiting(kSecond, Waits(0));
  off.Observe(6900, After(20));
  CHECK_EQUAL(0, off.HeldFrom(kFirst));
  CHECK(!off.IsOfferDue(kSecond, After(0), After(20)));
}

}  // namespace wagtail::leased
