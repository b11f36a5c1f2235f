#include "freshness/freshness_evidence.h"

#include <rapidcheck.h>

#include <chrono>
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kLimit = seconds(3);

instant At(duration since_origin) { return instant(since_origin); }

}  // namespace

TEST_GROUP(FreshnessEvidence) { freshness_evidence evidence_; };

TEST(FreshnessEvidence, IsStaleBeforeTheFirstRead) {
  CHECK_FALSE(evidence_.Age(At(seconds(1))).has_value());
  CHECK_FALSE(evidence_.IsFresh(At(seconds(1)), kLimit));
}

TEST(FreshnessEvidence, IsDatedByTheStartOfTheRead) {
  evidence_.OnDirectRead(At(seconds(10)), 7);
  CHECK(evidence_.Age(At(seconds(12))) == seconds(2));
  CHECK(evidence_.IsFresh(At(seconds(13)), kLimit));
  CHECK_FALSE(evidence_.IsFresh(At(seconds(13) + duration(1)), kLimit));
}

TEST(FreshnessEvidence, IsDatedByTheQuestionHoweverLateTheAnswer) {
  evidence_.OnAnswer(At(seconds(10)), milliseconds(400), 7);
  CHECK(evidence_.Age(At(seconds(30))) == seconds(20) + milliseconds(400));
}

TEST(FreshnessEvidence, TakesNoDateAfterTheQuestionFromANegativeAge) {
  evidence_.OnAnswer(At(seconds(10)), -seconds(5), 7);
  CHECK(evidence_.Age(At(seconds(10))) == duration::zero());
}

TEST(FreshnessEvidence, NeverGoesBackWhateverTheOrderOfReports) {
  rc::check("instant and version only grow", [] {
    freshness_evidence evidence;
    instant now = At(seconds(100));
    duration last_age = seconds(1000);
    uint64_t last_version = 0;
    auto ages = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 99'000));
    for (int age : ages) {
      auto version = *rc::gen::inRange<uint64_t>(0, 9);
      if (*rc::gen::arbitrary<bool>()) {
        evidence.OnAnswer(now, milliseconds(age), version);
      } else {
        evidence.OnDirectRead(now - milliseconds(age), version);
      }
      RC_ASSERT(evidence.version() >= last_version);
      RC_ASSERT(*evidence.Age(now) <= last_age);
      last_version = evidence.version();
      last_age = *evidence.Age(now);
    }
  });
}

}  // namespace wagtail
