#include "admission/fair_queue.h"

#include <rapidcheck.h>

#include <map>
#include <vector>
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

struct item {
  std::string team;
  int number = 0;
};

}  // namespace

TEST_GROUP(FairQueue){};

TEST(FairQueue, BurstOfOneTeamDoesNotDelayAnother) {
  fair_queue<int> queue(1000);
  for (int number = 0; number < 500; ++number) {
    CHECK(queue.Push("burst", number));
  }
  CHECK(queue.Push("quiet", 1000));
  CHECK(queue.Pop() == 0);
  CHECK(queue.Pop() == 1000);
}

TEST(FairQueue, SharesFollowTheWeights) {
  fair_queue<std::string> queue(1000);
  queue.SetWeight("heavy", 3);
  queue.SetWeight("light", 0.5);
  for (int number = 0; number < 300; ++number) {
    CHECK(queue.Push("heavy", "heavy") && queue.Push("light", "light") &&
          queue.Push("plain", "plain"));
  }
  std::map<std::string, int> served;
  for (int pop = 0; pop < 270; ++pop) {
    ++served[*queue.Pop()];
  }
  DOUBLES_EQUAL(180, served["heavy"], 3);
  DOUBLES_EQUAL(60, served["plain"], 2);
  DOUBLES_EQUAL(30, served["light"], 2);
}

TEST(FairQueue, RefusesItemsBeyondItsBound) {
  fair_queue<int> queue(2);
  CHECK(queue.Push("a", 1) && queue.Push("b", 2));
  CHECK_FALSE(queue.Push("c", 3));
  LONGS_EQUAL(2, queue.size());
}

TEST(FairQueue, LosesNothingAndKeepsTheOrderWithinATeam) {
  CHECK(rc::check([] {
    fair_queue<item> queue(100);
    std::map<std::string, int> pushed;
    std::map<std::string, int> next;
    size_t held = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
    for (const int step : steps) {
      const std::string team(1, static_cast<char>('a' + step % 3));
      if (step < 6) {
        held += queue.Push(team, {team, pushed[team]}) ? 1 : 0;
        ++pushed[team];
      } else if (const auto popped = queue.Pop()) {
        --held;
        RC_ASSERT(popped->number == next[popped->team]++);
        if (step == 9) {
          queue.PutBack(popped->team, *popped);
          --next[popped->team];
          ++held;
        }
      }
      RC_ASSERT(queue.size() == held);
    }
  }));
}

TEST(FairQueue, RemovesTheItemsOfACancelledJob) {
  fair_queue<int> queue(100);
  for (int number = 0; number < 10; ++number) {
    CHECK(queue.Push(number % 2 == 0 ? "even" : "odd", number));
  }
  LONGS_EQUAL(5, queue.RemoveIf([](int number) { return number % 2 == 0; }));
  LONGS_EQUAL(0, queue.SizeOf("even"));
  CHECK(queue.Pop() == 1);
  queue.Forget("even");
  LONGS_EQUAL(4, queue.size());
}

}  // namespace wagtail
