#include "session/reconnect_backoff.h"

#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr instant kStart{std::chrono::seconds(1000)};

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

/// Connects to a VM that sends no reply until `up` and accepts at once from then on.
/// @return time of the connection
instant ConnectionTime(reconnect_backoff& backoff, instant up) {
  instant now = kStart;
  while (true) {
    while (!backoff.IsDue(now)) {
      now += Ms(10);
    }
    if (now >= up) {
      return now;
    }
    now += backoff.StartAttempt(now);
    backoff.OnFailure(now);
  }
}

}  // namespace

TEST_GROUP(ReconnectBackoff){};

// After a power failure agents may be up before the entries, which send no reply until then.
TEST(ReconnectBackoff, AnEntryThatStartsAfterItsAgentsIsReachedSoon) {
  constexpr duration kMaxDelay = std::chrono::milliseconds(400);
  for (duration entry_delay = Ms(10); entry_delay < Ms(3000); entry_delay += Ms(10)) {
    reconnect_backoff backoff{{}};
    CHECK(ConnectionTime(backoff, kStart + entry_delay) - (kStart + entry_delay) <= kMaxDelay);
  }
  reconnect_backoff backoff{{}};
  CHECK(ConnectionTime(backoff, kStart + Ms(240)) - (kStart + Ms(240)) <= Ms(250));
}

TEST(ReconnectBackoff, RefusedAttemptsAreDelayed) {
  reconnect_backoff backoff{{}};
  backoff.StartAttempt(kStart);
  backoff.OnFailure(kStart + Ms(1));
  CHECK(!backoff.IsDue(kStart + Ms(99)));
  CHECK(backoff.IsDue(kStart + Ms(100)));
  backoff.StartAttempt(kStart + Ms(100));
  backoff.OnFailure(kStart + Ms(101));
  CHECK(!backoff.IsDue(kStart + Ms(299)));
  CHECK(backoff.IsDue(kStart + Ms(300)));
}

TEST(ReconnectBackoff, ALostConnectionIsReestablishedAfterADelay) {
  reconnect_backoff backoff{{}};
  backoff.StartAttempt(kStart);
  backoff.OnConnected();
  backoff.OnConnectionLost(kStart + Ms(500));
  CHECK(!backoff.IsDue(kStart + Ms(599)));
  CHECK(backoff.IsDue(kStart + Ms(600)));
}

}  // namespace wagtail::leased
