#include <chrono>

#include "scheduler/entry_rotation.h"
#include "scheduler/loop_backlog.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr duration kTick = std::chrono::milliseconds(20);

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

}  // namespace

TEST_GROUP(LoopBacklog) {
  static constexpr loop_backlog::options kOptions{};
  instant now{std::chrono::seconds(1000)};
  loop_backlog backlog{kOptions};
};

TEST(LoopBacklog, IsNotOverWhileTheLoopKeepsUp) {
  backlog.OnTimerSet(now + kTick);
  backlog.OnWorkPosted(now);
  backlog.OnWorkTaken(Ms(1), now + Ms(1));
  CHECK(!backlog.IsOver(now + Ms(5)));
}

TEST(LoopBacklog, GrowsWithTheAgeOfWorkThatWasNotTaken) {
  backlog.OnWorkPosted(now);
  backlog.OnWorkPosted(now + Ms(30));
  CHECK(backlog.Estimate(now + Ms(40)) == Ms(40));
  backlog.OnWorkTaken(Ms(1), now + Ms(41));
  CHECK(backlog.Estimate(now + Ms(41)) == Ms(1));
}

TEST(LoopBacklog, GrowsWhileTheTimerIsLate) {
  backlog.OnTimerSet(now + kTick);
  CHECK(backlog.Estimate(now + kTick - Ms(1)) == Ms(0));
  CHECK(backlog.IsOver(now + kTick + kOptions.limit + Ms(1)));
}

TEST(LoopBacklog, RemembersALongWaitOnlyForAWhile) {
  backlog.OnWorkTaken(kOptions.limit + Ms(1), now);
  CHECK(backlog.IsOver(now + kOptions.memory - Ms(1)));
  CHECK(!backlog.IsOver(now + kOptions.memory));
}

TEST_GROUP(EntryRotation) {
  instant now{std::chrono::seconds(1000)};
  entry_rotation rotation{{}};

  void Observe(bool behind, duration span) {
    for (instant end = now + span; now < end; now += kTick) {
      rotation.Observe(behind, now);
    }
  }
};

TEST(EntryRotation, AnEntryThatKeepsUpStaysIn) {
  Observe(false, std::chrono::seconds(5));
  CHECK(!rotation.IsOut());
}

TEST(EntryRotation, AShortBurstChangesNothing) {
  Observe(false, std::chrono::seconds(5));
  Observe(true, Ms(200));
  Observe(false, std::chrono::seconds(5));
  CHECK(!rotation.IsOut());
}

TEST(EntryRotation, AnEntryBehindLeavesAndComesBackOnceItKeepsUp) {
  Observe(true, std::chrono::seconds(1));
  CHECK(rotation.IsOut());
  Observe(false, std::chrono::seconds(2));
  CHECK(rotation.IsOut());
  Observe(false, std::chrono::seconds(8));
  CHECK(!rotation.IsOut());
}

TEST(EntryRotation, AFreezeOfTheProcessCountsAsOneObservation) {
  Observe(false, std::chrono::seconds(5));
  rotation.Observe(true, now + std::chrono::seconds(60));
  CHECK(!rotation.IsOut());
}

}  // namespace wagtail::leased
