#include "freshness/outage_poll.h"

#include <chrono>
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant At(duration since_origin) { return instant(since_origin); }

voter Voter(uint64_t nonce) { return {{nonce}, "entry", "galle"}; }

poll_answer Failing(uint64_t nonce) { return {{nonce}, 7, seconds(2), seconds(9)}; }

}  // namespace

TEST_GROUP(OutagePoll) {
  void setup() override { own_.OnDirectRead(At(seconds(10)), 7); }
  std::optional<instant> Outcome() const { return poll_.Outcome({1}, own_, voters_, kLater); }

  static constexpr instant kNow = instant(seconds(20));
  static constexpr instant kLater = instant(seconds(20) + milliseconds(2));
  voter_set voters_{{Voter(1), Voter(2), Voter(3), Voter(4), Voter(5)}};
  freshness_evidence own_;
  outage_poll poll_{freshness_settings{}};
};

TEST(OutagePoll, IsDueOnlyWhileOwnReadsFail) {
  CHECK_FALSE(poll_.IsDue(own_, At(seconds(11))));
  CHECK(poll_.IsDue(own_, kNow));
  poll_.Begin(kNow);
  CHECK_FALSE(poll_.IsDue(own_, kLater));
}

TEST(OutagePoll, SucceedsWithAMajorityThatCannotRead) {
  auto number = poll_.Begin(kNow);
  poll_.OnAnswer(number, Failing(2));
  CHECK_FALSE(Outcome().has_value());
  poll_.OnAnswer(number, Failing(3));
  CHECK(Outcome() == kNow);
}

TEST(OutagePoll, CountsAVoterOnceAndStrangersNever) {
  auto number = poll_.Begin(kNow);
  poll_.OnAnswer(number, Failing(2));
  poll_.OnAnswer(number, Failing(2));
  poll_.OnAnswer(number, Failing(9));
  CHECK_FALSE(Outcome().has_value());
}

TEST(OutagePoll, CountsNoVoterThatReads) {
  auto number = poll_.Begin(kNow);
  poll_.OnAnswer(number, Failing(2));
  poll_.OnAnswer(number, {{3}, 7, milliseconds(300), milliseconds(300)});
  CHECK_FALSE(Outcome().has_value());
}

TEST(OutagePoll, DropsAnswersToAnEarlierPoll) {
  auto earlier = poll_.Begin(At(seconds(19)));
  auto number = poll_.Begin(kNow);
  poll_.OnAnswer(earlier, Failing(2));
  poll_.OnAnswer(number, Failing(3));
  CHECK_FALSE(Outcome().has_value());
}

TEST(OutagePoll, NeverSucceedsWithoutVoters) {
  poll_.Begin(kNow);
  CHECK_FALSE(poll_.Outcome({1}, own_, voter_set(), kLater).has_value());
}

}  // namespace wagtail
