#include "session/reconnect_backoff.h"

#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr instant kStart{std::chrono::seconds(1000)};

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

/// Dials a VM that answers nothing until it is up, and at once from then on.
/// @return when the connection is made
instant Connects(reconnect_backoff& pace, instant up) {
  instant now = kStart;
  while (true) {
    while (!pace.IsDue(now)) {
      now += Ms(10);
    }
    if (now >= up) {
      return now;
    }
    now += pace.Begin(now);
    pace.Failed(now);
  }
}

}  // namespace

TEST_GROUP(ReconnectBackoff){};

// After a loss of power agents may be up before their entries, which then answer nothing.
TEST(ReconnectBackoff, AnEntryThatStartsAfterItsAgentsIsReachedSoon) {
  constexpr duration kLongest = std::chrono::milliseconds(400);
  for (duration later = Ms(10); later < Ms(3000); later += Ms(10)) {
    reconnect_backoff pace{{}};
    CHECK(Connects(pace, kStart + later) - (kStart + later) <= kLongest);
  }
  reconnect_backoff pace{{}};
  CHECK(Connects(pace, kStart + Ms(240)) - (kStart + Ms(240)) <= Ms(250));
}

TEST(ReconnectBackoff, RefusedAttemptsAreDelayed) {
  reconnect_backoff pace{{}};
  pace.Begin(kStart);
  pace.Failed(kStart + Ms(1));
  CHECK(!pace.IsDue(kStart + Ms(99)));
  CHECK(pace.IsDue(kStart + Ms(100)));
  pace.Begin(kStart + Ms(100));
  pace.Failed(kStart + Ms(101));
  CHECK(!pace.IsDue(kStart + Ms(299)));
  CHECK(pace.IsDue(kStart + Ms(300)));
}

TEST(ReconnectBackoff, ALostConnectionIsReestablishedAfterADelay) {
  reconnect_backoff pace{{}};
  pace.Begin(kStart);
  pace.Connected();
  pace.Lost(kStart + Ms(500));
  CHECK(!pace.IsDue(kStart + Ms(599)));
  CHECK(pace.IsDue(kStart + Ms(600)));
}

}  // namespace wagtail::leased
