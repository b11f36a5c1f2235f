#include "http/connection_table.h"

// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

instant At(int64_t seconds) { return instant(std::chrono::seconds(seconds)); }

}  // namespace

TEST_GROUP(ConnectionTable) {
  connection_table table{{.max_connections = 3,
                          .header_timeout = std::chrono::seconds(10),
                          .body_timeout = std::chrono::seconds(30),
                          .idle_timeout = std::chrono::seconds(60)}};
};

// Clients that held their connections without completing a request kept out everyone else.
TEST(ConnectionTable, AtTheLimitTheLongestWithoutACompletedRequestGivesWay) {
  table.Open(1, At(0));
  table.Open(2, At(1));
  table.Open(3, At(2));
  CHECK(table.Enter(2, connection_phase::kBody, At(3)));
  table.Complete(1, At(4));
  auto first = table.Admit(At(5));
  CHECK(first.accepted);
  CHECK_EQUAL(2, first.displaced->socket);
  CHECK(first.displaced->reason == closing_reason::kConnections);
  // It does not count any more, although it has not ended yet.
  table.Open(4, At(5));
  auto second = table.Admit(At(6));
  CHECK_EQUAL(3, second.displaced->socket);
}

TEST(ConnectionTable, BelowTheLimitNothingGivesWay) {
  table.Open(1, At(0));
  table.Open(2, At(0));
  CHECK(table.Admit(At(3)).accepted);
  CHECK_FALSE(table.Admit(At(3)).displaced.has_value());
}

// A job that has begun must not lose its caller to a new connection.
TEST(ConnectionTable, AHandlerAtWorkIsNeverClosed) {
  for (int socket : {1, 2, 3}) {
    table.Open(socket, At(0));
    CHECK(table.Enter(socket, connection_phase::kHandling, At(0)));
  }
  auto admission = table.Admit(At(100000));
  CHECK_FALSE(admission.accepted);
  CHECK_FALSE(admission.displaced.has_value());
  CHECK(table.TakeOverdue(At(100000)).empty());
}

// Callers that wait for a day held all connections, and nobody else was served.
TEST(ConnectionTable, TheLongestHandlerOverItsGraceGivesWayIfAllAreAtWork) {
  connection_table waiting{{.max_connections = 2, .handler_grace = std::chrono::seconds(10)}};
  waiting.Open(1, At(0));
  waiting.Open(2, At(0));
  CHECK(waiting.Enter(1, connection_phase::kHandling, At(5)));
  CHECK(waiting.Enter(2, connection_phase::kHandling, At(4)));
  CHECK_FALSE(waiting.Admit(At(13)).accepted);
  auto admission = waiting.Admit(At(14));
  CHECK(admission.accepted);
  CHECK_EQUAL(2, admission.displaced->socket);
  CHECK(admission.displaced->reason == closing_reason::kHandlerTime);
  // One without a handler at work goes first.
  waiting.Open(3, At(14));
  CHECK_EQUAL(3, waiting.Admit(At(20)).displaced->socket);
  waiting.Open(4, At(20));
  CHECK(waiting.Enter(4, connection_phase::kHandling, At(20)));
  CHECK_EQUAL(1, waiting.Admit(At(20)).displaced->socket);
}

// A caller that had waited longest lost the answer of a job that had run.
TEST(ConnectionTable, AConnectionThatIsBeingAnsweredGivesWayLast) {
  table.Open(1, At(0));
  table.Open(2, At(1));
  table.Open(3, At(2));
  CHECK(table.Enter(1, connection_phase::kAnswering, At(3)));
  CHECK_EQUAL(2, table.Admit(At(4)).displaced->socket);
  table.Open(4, At(4));
  CHECK_EQUAL(3, table.Admit(At(5)).displaced->socket);
  table.Open(5, At(5));
  CHECK(table.Enter(4, connection_phase::kHandling, At(6)));
  CHECK(table.Enter(5, connection_phase::kHandling, At(6)));
  CHECK_EQUAL(1, table.Admit(At(7)).displaced->socket);
}

TEST(ConnectionTable, EachPhaseHasItsLimitOfTime) {
  struct limit {
    connection_phase phase;
    int64_t seconds;
    closing_reason reason;
  };
  for (limit each : {limit{connection_phase::kIdle, 60, closing_reason::kIdleTime},
                     limit{connection_phase::kHeader, 10, closing_reason::kHeaderTime},
                     limit{connection_phase::kBody, 30, closing_reason::kBodyTime},
                     limit{connection_phase::kAnswering, 30, closing_reason::kBodyTime}}) {
    table.Open(1, At(0));
    CHECK(table.Enter(1, each.phase, At(5)));
    CHECK(table.TakeOverdue(At(5 + each.seconds - 1)).empty());
    auto overdue = table.TakeOverdue(At(5 + each.seconds));
    CHECK_EQUAL(1, overdue.size());
    CHECK(overdue[0].reason == each.reason);
    CHECK(table.TakeOverdue(At(1000)).empty());
  }
}

// A peer that sends a byte now and then is never inactive, but its body takes forever.
TEST(ConnectionTable, TheTimeOfABodyRunsFromItsHeader) {
  table.Open(1, At(0));
  CHECK(table.Enter(1, connection_phase::kHeader, At(50)));
  CHECK(table.Enter(1, connection_phase::kBody, At(55)));
  CHECK(table.TakeOverdue(At(84)).empty());
  CHECK_EQUAL(1, table.TakeOverdue(At(85)).size());
}

// Otherwise a request could be handled whose caller was just cut off.
TEST(ConnectionTable, AConnectionBeingClosedMayNotGoOn) {
  table.Open(1, At(0));
  CHECK(table.Enter(1, connection_phase::kBody, At(0)));
  CHECK_EQUAL(1, table.TakeOverdue(At(40)).size());
  CHECK_FALSE(table.Enter(1, connection_phase::kHandling, At(40)));
  table.Remove(1);
  CHECK_EQUAL(0, table.size());
}

TEST(ConnectionTable, TheSlowestBodyGivesWayToOthersAfterTheGrace) {
  constexpr duration kGrace = std::chrono::seconds(2);
  table.Open(1, At(0));
  table.Open(2, At(0));
  CHECK(table.Enter(1, connection_phase::kBody, At(11)));
  CHECK(table.Enter(2, connection_phase::kBody, At(10)));
  CHECK_FALSE(table.TakeSlowestBody(At(12), kGrace).has_value());
  CHECK_EQUAL(2, table.TakeSlowestBody(At(13), kGrace)->socket);
  CHECK_FALSE(table.TakeSlowestBody(At(13), kGrace).has_value());
  CHECK_EQUAL(1, table.TakeSlowestBody(At(14), kGrace)->socket);
}

TEST(ConnectionTable, NamesIdleConnectionsOnce) {
  table.Open(1, At(0));
  table.Open(2, At(0));
  CHECK(table.Enter(2, connection_phase::kHandling, At(1)));
  auto idle = table.TakeIdle(At(5), std::chrono::seconds(5));
  CHECK_EQUAL(1, idle.size());
  CHECK(table.IsReadShut(1));
  CHECK_FALSE(table.IsReadShut(2));
  CHECK(table.TakeIdle(At(6), std::chrono::seconds(5)).empty());
}

}  // namespace wagtail
