#include "plan/newest_plan.h"

#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

operating_plan Plan(uint64_t revision, uint64_t version) {
  return {.revision = revision, .version = version, .queues = {{.name = "lights"}}};
}

}  // namespace

TEST_GROUP(NewestPlan) { newest_plan newest; };

TEST(NewestPlan, TakesWhatIsNewer) {
  CHECK(newest.Offer(Plan(4, 1)));
  CHECK(newest.Offer(Plan(6, 2)));
  CHECK_EQUAL(2, newest.get().version);
}

TEST(NewestPlan, NeverGoesBack) {
  newest.Offer(Plan(6, 2));
  CHECK(!newest.Offer(Plan(4, 1)));
  CHECK_EQUAL(2, newest.get().version);
}

// After a start of all processes each has read the same plan at another revision.
TEST(NewestPlan, TheSameContentAtAHigherRevisionIsNoChange) {
  newest.Offer(Plan(4, 1));
  CHECK(!newest.Offer(Plan(5, 1)));
  CHECK_EQUAL(5, newest.get().revision);
}

// What was read at 5 is known to have stood at 7, so something else from 6 is outdated.
TEST(NewestPlan, IgnoresAChangeOlderThanTheLastConfirmation) {
  newest.Offer(Plan(5, 1));
  newest.Offer(Plan(7, 1));
  CHECK(!newest.Offer(Plan(6, 2)));
  CHECK_EQUAL(1, newest.get().version);
}

}  // namespace wagtail
