#include "freshness/in_force_tracker.h"

#include <chrono>
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

using std::chrono::seconds;

const freshness_settings kSettings;

voter Voter(uint64_t nonce) { return {{nonce}, "entry-" + std::to_string(nonce), "galle"}; }

}  // namespace

TEST_GROUP(InForceTracker) {
  static constexpr instant kNow = instant(seconds(20));
  voter_set voters_{{Voter(1), Voter(2), Voter(3)}};
  in_force_tracker tracker_{kSettings};
};

TEST(InForceTracker, WaitsForAMajorityAndThenForTheLapseOfOlderEvidence) {
  tracker_.OnVersion(7, voters_, kNow);
  tracker_.OnVoterConfirmed({1}, 7, kNow);
  CHECK_FALSE(tracker_.IsInForce(7, kNow + seconds(100)));
  tracker_.OnVoterConfirmed({2}, 7, kNow);
  CHECK_FALSE(tracker_.IsInForce(7, kNow + kSettings.limit));
  CHECK(tracker_.IsInForce(7, kNow + kSettings.LapseAfter()));
}

TEST(InForceTracker, CountsAHigherVersionForTheLowerOnes) {
  tracker_.OnVersion(9, voters_, kNow);
  tracker_.OnVoterConfirmed({1}, 9, kNow);
  tracker_.OnVoterConfirmed({2}, 8, kNow);
  CHECK(tracker_.IsInForce(7, kNow + kSettings.LapseAfter()));
  CHECK_FALSE(tracker_.IsInForce(9, kNow + kSettings.LapseAfter()));
}

TEST(InForceTracker, CountsNoVersionAboveTheOneWhoseVotersItKnows) {
  tracker_.OnVersion(7, voters_, kNow);
  tracker_.OnVoterConfirmed({1}, 9, kNow);
  tracker_.OnVoterConfirmed({2}, 9, kNow);
  CHECK(tracker_.IsInForce(7, kNow + kSettings.LapseAfter()));
  CHECK_FALSE(tracker_.IsInForce(9, kNow + kSettings.LapseAfter()));
}

TEST(InForceTracker, CountsStoppedVotersAsConfirming) {
  tracker_.OnVersion(7, voters_, kNow);
  tracker_.OnVoterConfirmed({1}, 7, kNow);
  tracker_.OnVoterStopped({3}, kNow);
  CHECK(tracker_.IsInForce(7, kNow + kSettings.LapseAfter()));
}

TEST(InForceTracker, KeepsTheInstantOfEarlierVersionsUnderASteadyStreamOfChanges) {
  tracker_.OnVersion(100, voters_, kNow);
  for (uint64_t version = 1; version <= 100; ++version) {
    tracker_.OnVoterConfirmed({1}, version, kNow + seconds(version));
    tracker_.OnVoterConfirmed({2}, version, kNow + seconds(version));
  }
  CHECK(tracker_.IsInForce(96, kNow + seconds(100)));
  CHECK_FALSE(tracker_.IsInForce(97, kNow + seconds(100)));
}

TEST(InForceTracker, NamesWhoIsMissingAndWhy) {
  std::vector<target_incarnation> targets{{"t1", 1}, {"t2", 4}};
  tracker_.OnTargets(targets);
  tracker_.OnVersion(7, voters_, kNow);
  tracker_.OnVoterConfirmed({1}, 7, kNow);
  tracker_.OnTargetConfirmed({"t1", 1}, 7);
  tracker_.OnTargetConfirmed({"t2", 3}, 7);  // an earlier life of t2
  std::vector<missing_party> expected{{"entry-2", missing_reason::kVoterSilent},
                                      {"entry-3", missing_reason::kVoterSilent},
                                      {"t2#4", missing_reason::kMayStillStart}};
  CHECK(tracker_.Missing(7, kNow) == expected);
  tracker_.OnVoterConfirmed({2}, 7, kNow);
  expected = {{"t2#4", missing_reason::kStoppedWorking}};
  CHECK(tracker_.Missing(7, kNow + kSettings.LapseAfter()) == expected);
}

}  // namespace wagtail
