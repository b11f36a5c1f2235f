#include "admission/admission_error.h"
#include "admission/overload_guard.h"
#include "admission/retry_budget.h"
#include "admission/token_bucket.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

constexpr instant kStart{std::chrono::hours(1)};
constexpr duration kSecond = std::chrono::seconds(1);

}  // namespace

TEST_GROUP(Admission){};

TEST(Admission, BucketGivesItsBurstAndThenItsRate) {
  token_bucket bucket(10, 5);
  CHECK(bucket.TryTake(5, kStart) == duration::zero());
  const duration wait = bucket.TryTake(2, kStart);
  LONGS_EQUAL(200, ToMilliseconds(wait));
  CHECK(bucket.TryTake(2, kStart + wait - duration(1)) > duration::zero());
  CHECK(bucket.TryTake(2, kStart + wait) == duration::zero());
  CHECK(bucket.TryTake(6, kStart + 10 * kSecond) == duration::max());
}

TEST(Admission, BucketNeverHoldsMoreThanItsBurst) {
  token_bucket bucket(10, 5);
  CHECK(bucket.TryTake(1, kStart) == duration::zero());
  bucket.Return(1);
  bucket.Return(1);
  DOUBLES_EQUAL(5, bucket.TokensAt(kStart + 100 * kSecond), 1e-6);
  CHECK(bucket.TryTake(5, kStart + 100 * kSecond) == duration::zero());
  CHECK(bucket.TryTake(1, kStart + 100 * kSecond) > duration::zero());
}

TEST(Admission, RetriesStayAFractionOfFirstAttemptsAboveAFloor) {
  retry_budget budget({.retries_per_first_attempt = 0.1, .max_saved = 100, .floor_per_second = 2});
  for (int attempt = 0; attempt < 1000; ++attempt) {
    budget.OnFirstAttempt();
  }
  int retries = 0;
  while (budget.TryRetry(kStart)) {
    ++retries;
  }
  CHECK(retries >= 100 && retries <= 103);
  CHECK_FALSE(budget.TryRetry(kStart));
  CHECK(budget.TryRetry(kStart + kSecond));
}

TEST(Admission, GuardRefusesWhatWouldWaitPastItsDeadline) {
  overload_guard guard({});
  CHECK(guard.Check(1, 1000, kSecond, kStart).ok());
  for (int sent = 0; sent < 300; ++sent) {
    guard.OnSent(kStart + sent * std::chrono::milliseconds(10));
  }
  const instant now = kStart + 3 * kSecond;
  LONGS_EQUAL(10, ToMilliseconds(guard.ExpectedWait(1, now)));
  CHECK(guard.Check(1, 40, kSecond, now).ok());
  const absl::Status refused = guard.Check(1, 100, kSecond, now);
  CHECK(ErrorOf<admission_error>(refused) == admission_error::kDeadlineTooShort);
  LONGS_EQUAL(500, ToMilliseconds(*RetryAfterOf(refused)));
}

TEST(Admission, GuardKeepsTheQueueBounded) {
  overload_guard guard({.max_queued_tasks = 100});
  CHECK(guard.Check(10, 90, kSecond, kStart).ok());
  const absl::Status refused = guard.Check(11, 90, kSecond, kStart);
  CHECK(ErrorOf<admission_error>(refused) == admission_error::kQueueFull);
  CHECK(RetryAfterOf(refused) > duration::zero());
}

}  // namespace wagtail
