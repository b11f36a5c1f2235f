#include "leases/answer_timeout.h"

#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

}  // namespace

TEST_GROUP(AnswerTimeout) {
  answer_timeout timeout{{.min = Ms(6), .max = Ms(40)}};

  void Answer(duration took, unsigned times = 50) {
    for (unsigned count = 0; count < times; ++count) {
      timeout.OnAnswer(took);
    }
  }
};

TEST(AnswerTimeout, WaitsLongUntilATargetHasAnswered) { CHECK(timeout.Get() == Ms(40)); }

TEST(AnswerTimeout, FollowsTheAnswersWithinItsBounds) {
  Answer(Ms(1));
  CHECK(timeout.Get() == Ms(6));
  Answer(Ms(10));
  CHECK(timeout.Get() >= Ms(10));
  CHECK(timeout.Get() < Ms(20));
  Answer(Ms(100));
  CHECK(timeout.Get() == Ms(40));
}

TEST(AnswerTimeout, AllowsForAnswersThatVary) {
  for (unsigned count = 0; count < 50; ++count) {
    timeout.OnAnswer(count % 2 == 0 ? Ms(4) : Ms(12));
  }
  CHECK(timeout.Get() > Ms(16));
}

// Answers slower than the timeout are never seen, so the timeout must grow by itself.
TEST(AnswerTimeout, GrowsWhenATargetHasBecomeSlower) {
  Answer(Ms(2));
  duration before = timeout.Get();
  timeout.OnTimeout();
  timeout.OnTimeout();
  CHECK(timeout.Get() == before);
  timeout.OnTimeout();
  CHECK(timeout.Get() == 2 * before);
  for (unsigned count = 0; count < 100; ++count) {
    timeout.OnTimeout();
  }
  CHECK(timeout.Get() == Ms(40));
  Answer(Ms(2), 1);
  CHECK(timeout.Get() < 2 * before);
}

TEST(AnswerTimeout, ForgetsATargetThatWasReplaced) {
  Answer(Ms(2));
  timeout.Reset();
  CHECK(timeout.Get() == Ms(40));
}

}  // namespace wagtail::leased
