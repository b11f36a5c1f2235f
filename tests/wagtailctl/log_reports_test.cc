#include <sstream>
#include <string>

#include "tests/wagtailctl/command_run.h"
#include "utilities/wagtailctl/fleet_report.h"
#include "utilities/wagtailctl/loss_report.h"
// Included last: CppUTest's macros would break the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

/// Log of an entry: a job in time, a late one, one refused in the same second, one failed later.
constexpr const char* kEntryLog =
    R"( 1.0 edge-1 {"time":"2026-01-01T00:00:01.000Z","fact":"tasks_ordered","job":"a","detail":"1 tasks to t from run 1, objective in 100 ms"}
 1.1 edge-1 {"time":"2026-01-01T00:00:01.050Z","fact":"job_answered","job":"a","queue":"q","outcome":"completed","reason":""}
 1.1 edge-1 {"time":"2026-01-01T00:00:01.100Z","fact":"tasks_ordered","job":"b","detail":"1 tasks to t from run 1, objective in 100 ms"}
 1.3 edge-1 {"time":"2026-01-01T00:00:01.300Z","fact":"job_answered","job":"b","queue":"q","outcome":"completed","reason":""}
 1.4 edge-1 {"time":"2026-01-01T00:00:01.400Z","fact":"job_answered","job":"c","queue":"q","outcome":"refused","reason":"overload"}
not a log line
 3.2 edge-1 {"time":"2026-01-01T00:00:03.200Z","fact":"job_answered","job":"d","queue":"p","outcome":"failed","reason":"attempts_used"}
)";

loss_table TableOf(const std::string& log) {
  loss_reader reader(absl::Seconds(1));
  std::istringstream stream(log);
  reader.Read(stream, "log");
  return reader.Table();
}

}  // namespace

TEST_GROUP(LossReport){};

TEST(LossReport, CountsLostJobsByTimeAndCause) {
  loss_table table = TableOf(kEntryLog);
  CHECK_EQUAL(3, table.intervals.size());
  CHECK_EQUAL(1, table.intervals[0].in_time);
  CHECK_EQUAL(1, table.intervals[0].lost.at("late"));
  CHECK_EQUAL(1, table.intervals[0].lost.at("refused overload"));
  CHECK(table.intervals[1].lost.empty());
  CHECK_EQUAL(1, table.by_queue.at("p").at("failed attempts_used"));
  CHECK_EQUAL(1, table.in_time);
  STRCMP_CONTAINS("1 jobs in time, 3 not", LossText(table).c_str());
}

TEST(LossReport, DrawsABarForEachCause) {
  std::string svg = LossSvg(TableOf(kEntryLog));
  STRCMP_CONTAINS("<svg ", svg.c_str());
  STRCMP_CONTAINS("refused overload: 1 jobs", svg.c_str());
}

TEST(LossReport, WithoutAnswersTheTableIsEmpty) {
  CHECK(TableOf("nothing\n").intervals.empty());
  STRCMP_CONTAINS("0 jobs in time, 0 not", LossText(TableOf("")).c_str());
}

TEST_GROUP(FleetReport){};

TEST(FleetReport, ShowsAMixedFleet) {
  fleet_reader reader;
  std::istringstream log(
      R"({"time":"t","fact":"started","program":"wagtail-agentd","version":"0.1.0","vm":"side-1"}
{"time":"t","fact":"started","program":"wagtail-agentd","version":"0.1.0","commit":"abc","protocol":"1-2","vm":"side-2"}
)");
  reader.Read(log, "log");
  CHECK_EQUAL(2, reader.members().size());
  STRCMP_EQUAL("abc", reader.members().at("side-2").commit.c_str());
  std::string text = FleetText(reader.members());
  STRCMP_CONTAINS("1 x wagtail-agentd 0.1.0 abc", text.c_str());
  STRCMP_CONTAINS("1 x wagtail-agentd 0.1.0 of no stated commit", text.c_str());
}

}  // namespace wagtail
