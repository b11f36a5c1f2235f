#include "freshness/start_gate.h"

#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(StartGate) {
  static constexpr instant kNow = instant(std::chrono::seconds(10));
  freshness_settings settings_;
  start_gate gate_{settings_};
};

TEST(StartGate, StartsNothingBeforeTheFirstConfiguration) {
  CHECK(gate_.Check(kNow) == start_refusal::kStale);
  gate_.OnPolicy(kNow, 0, true);  // an entry that knows none itself
  CHECK(gate_.Check(kNow) == start_refusal::kStale);
  gate_.OnPolicy(kNow, 3, true);
  CHECK_FALSE(gate_.Check(kNow).has_value());
}

TEST(StartGate, StartsNothingAfterTheContactTimeout) {
  gate_.OnPolicy(kNow, 3, true);
  CHECK_FALSE(gate_.Check(kNow + settings_.contact_limit).has_value());
  instant later = kNow + settings_.contact_limit + duration(1);
  CHECK(gate_.Check(later) == start_refusal::kStale);
  gate_.OnPolicy(kNow - duration(1), 3, true);  // an earlier heartbeat, answered late
  CHECK(gate_.Check(later) == start_refusal::kStale);
  gate_.OnPolicy(later, 2, true);  // an entry that is behind answers for all that
  CHECK_FALSE(gate_.Check(later).has_value());
}

TEST(StartGate, RefusesWhileTheTargetIsLeaving) {
  gate_.OnPolicy(kNow, 3, true);
  gate_.OnPolicy(kNow, 4, false);
  CHECK(gate_.Check(kNow) == start_refusal::kLeaving);
  gate_.OnPolicy(kNow, 5, true);
  CHECK_FALSE(gate_.Check(kNow).has_value());
}

TEST(StartGate, IgnoresAnOlderVersion) {
  gate_.OnPolicy(kNow, 4, false);
  gate_.OnPolicy(kNow, 3, true);
  CHECK(gate_.Check(kNow) == start_refusal::kLeaving);
  LONGS_EQUAL(4, gate_.version());
}

}  // namespace wagtail
