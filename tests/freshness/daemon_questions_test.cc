#include "freshness/daemon_questions.h"

#include <chrono>
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using links = std::vector<std::size_t>;

}  // namespace

TEST_GROUP(DaemonQuestions) { daemon_questions questions_{freshness_settings{}}; };

TEST(DaemonQuestions, KeepsToTheFirstThatAnswers) {
  CHECK(questions_.OnTick(3) == (links{0, 1, 2}));
  questions_.OnAnswer(1, milliseconds(600));
  questions_.OnAnswer(2, milliseconds(100));
  CHECK(questions_.OnTick(3) == links{1});
}

TEST(DaemonQuestions, AsksAllWhenNoAnswerCameOrTheLinkIsGone) {
  questions_.OnAnswer(1, milliseconds(600));
  CHECK(questions_.OnTick(3) == links{1});
  CHECK(questions_.OnTick(3) == (links{0, 1, 2}));
  questions_.OnAnswer(2, milliseconds(600));
  CHECK(questions_.OnTick(2) == (links{0, 1}));
  CHECK(questions_.OnTick(0).empty());
}

TEST(DaemonQuestions, LeavesAnEntryWhoseEvidenceIsOld) {
  questions_.OnAnswer(1, seconds(2));
  CHECK(questions_.OnTick(3) == (links{0, 1, 2}));
}

}  // namespace wagtail
