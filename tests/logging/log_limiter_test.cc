#include "logging/log_limiter.h"

// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(LogLimiter) {
  instant now_;
  log_limiter limiter_{{.burst = 2, .per_second = 1}};
};

TEST(LogLimiter, DropsPastTheBurstAndReportsTheCountLater) {
  CHECK(limiter_.Admit("refused", now_) == 0U);
  CHECK(limiter_.Admit("refused", now_) == 0U);
  CHECK_FALSE(limiter_.Admit("refused", now_).has_value());
  CHECK_FALSE(limiter_.Admit("refused", now_).has_value());
  CHECK(limiter_.Admit("started", now_) == 0U);
  now_ += std::chrono::seconds(1);
  CHECK(limiter_.Admit("refused", now_) == 2U);
  LONGS_EQUAL(2, limiter_.dropped_total());
  CHECK(limiter_.TakeDropped().empty());
}

TEST(LogLimiter, KeepsUnreportedDropsUntilTaken) {
  for (int i = 0; i < 5; ++i) {
    limiter_.Admit("refused", now_);
  }
  auto dropped = limiter_.TakeDropped();
  LONGS_EQUAL(1, dropped.size());
  STRCMP_EQUAL("refused", dropped.front().fact.c_str());
  LONGS_EQUAL(3, dropped.front().lines);
  CHECK(limiter_.TakeDropped().empty());
}

TEST(LogLimiter, BoundsTheNumberOfBuckets) {
  for (size_t i = 0; i < 2 * log_limiter::kMaxFactNames; ++i) {
    limiter_.Admit("fact" + std::to_string(i), now_);
  }
  CHECK_FALSE(limiter_.Admit("one more", now_).has_value());
  CHECK(limiter_.Admit("fact0", now_) == 0U);
}

}  // namespace wagtail
