#include "freshness/entry_freshness.h"

#include <chrono>
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const freshness_settings kSettings;

table_changes TwoVoters(uint64_t revision) {
  voter_set voters({{{1}, "e1", "galle"}, {{2}, "e2", "kandy"}});
  return {revision, {{std::string(kVotersKey), revision, voters.Serialise()}}};
}

table_changes Text(uint64_t revision, const std::string& text) {
  return {revision, {{std::string(kConfigurationRowKey), revision, text}}};
}

}  // namespace

TEST_GROUP(EntryFreshness) {
  static constexpr instant kNow = instant(seconds(20));
  entry_freshness one_{{1}, kSettings};
  entry_freshness two_{{2}, kSettings};
};

TEST(EntryFreshness, CountsNobodyWhenTheVotersCannotBeRead) {
  one_.OnTableRead(kNow, {7, {{std::string(kVotersKey), 7, "no list"}}}, kNow);
  CHECK_FALSE(one_.voters_status().ok());
  CHECK_FALSE(one_.MayChangeVoters());
  CHECK_FALSE(one_.tracker().IsInForce(7, kNow + seconds(100)));
  CHECK(one_.evidence().IsFresh(kNow, kSettings.limit));
}

TEST(EntryFreshness, HandsItsRowsToAVoterThatDoesNotGetThemByItself) {
  one_.OnTableRead(kNow, TwoVoters(7), kNow);
  auto questions = one_.OnTick(kNow);
  LONGS_EQUAL(1, questions.size());
  CHECK_FALSE(questions[0].question.rows.has_value());
  questions = one_.OnTick(kNow + kSettings.period);
  CHECK(questions.at(0).question.rows.has_value());
  one_.OnPeerAnswer(questions[0], two_.OnPeerQuestion(questions[0].question, kNow), kNow);
  LONGS_EQUAL(7, two_.rows().version());
  CHECK(one_.MayChangeVoters());
  CHECK(one_.OnTick(kNow + kSettings.period).empty());
}

TEST(EntryFreshness, TakesNewerRowsAndEvidenceFromAnAnswer) {
  one_.OnTableRead(kNow, TwoVoters(7), kNow);
  two_.OnTableRead(kNow, TwoVoters(7), kNow);
  instant later = kNow + seconds(5);
  two_.OnTableRead(later - milliseconds(200), Text(9, "newer"), later);
  auto questions = one_.OnTick(later);
  one_.OnPeerAnswer(questions.at(0), two_.OnPeerQuestion(questions.at(0).question, later), later);
  STRCMP_EQUAL("newer", one_.rows().configuration.text.c_str());
  LONGS_EQUAL(9, one_.evidence().version());
  CHECK(one_.evidence().Age(later) == milliseconds(200));
}

TEST(EntryFreshness, NeverGoesBackToOlderRows) {
  one_.OnTableRead(kNow, Text(9, "newer"), kNow);
  one_.OnPeerQuestion({0, guarded_rows{{"older", 8}, {"", 0}}}, kNow);
  one_.OnTableRead(kNow, Text(7, "oldest"), kNow);
  STRCMP_EQUAL("newer", one_.rows().configuration.text.c_str());
  LONGS_EQUAL(9, one_.rows().version());
}

}  // namespace wagtail
