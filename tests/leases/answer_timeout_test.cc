#include "leases/answer_timeout.h"

#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

}  // namespace

TEST_GROUP(AnswerTimeout) {
  answer_timeout timeout{{.min = Ms(6), .max = Ms(40), .min_lost_share = 0}};
  answer_timeout for_losses{{.min = Ms(6), .max = Ms(40), .min_lost_share = 0.1}};

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

// On most days answers are late now and then, but not lost: a short wait would void starts that
// run.
TEST(AnswerTimeout, WaitsLongForATargetThatNearlyAlwaysAnswers) {
  for (unsigned count = 0; count < 200; ++count) {
    for (unsigned answered = 0; answered < 24; ++answered) {
      for_losses.OnAnswer(Ms(1));
    }
    for_losses.OnTimeout();
    CHECK(for_losses.Get() == Ms(40));
  }
}

TEST(AnswerTimeout, WaitsShortWhileATargetLosesAQuarterOfItsAnswers) {
  constexpr unsigned kRounds = 200;
  unsigned waited_long = 0;
  for (unsigned count = 0; count < kRounds; ++count) {
    for_losses.OnAnswer(Ms(1));
    for_losses.OnAnswer(Ms(1));
    for_losses.OnAnswer(Ms(1));
    for_losses.OnTimeout();
    waited_long += for_losses.Get() == Ms(40) ? 1 : 0;
  }
  CHECK(waited_long < kRounds / 10);
}

TEST(AnswerTimeout, ForgetsATargetThatWasReplaced) {
  Answer(Ms(2));
  timeout.Reset();
  CHECK(timeout.Get() == Ms(40));
}

}  // namespace wagtail::leased
