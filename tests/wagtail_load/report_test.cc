#include <numeric>
#include <string>
#include <vector>

#include "tests/wagtail_load/sample_scenario.h"
#include "wagtail_load/comparison.h"
#include "wagtail_load/counter_scrape.h"
#include "wagtail_load/entry_client.h"
#include "wagtail_load/load_error.h"
#include "wagtail_load/statistics.h"
#include "wagtail_load/svg_plot.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One job of two seconds of work per second; the one of second 2 fails.
run_report SampleReport() {
  load_scenario plan = SampleScenario();
  plan.length = seconds(10);
  plan.actions[0].at = seconds(2);
  plan.actions[1].at = seconds(4);
  std::vector<planned_job> jobs;
  std::vector<job_record> records;
  for (int i = 0; i < 6; ++i) {
    jobs.push_back({.at = seconds(i), .tasks = {{.run_ms = 1000}, {.run_ms = 1000}}});
    records.push_back({.outcome = submission_outcome::kComplete,
                       .sent = seconds(i) + milliseconds(1),
                       .finished = seconds(i) + milliseconds(501 + 100 * i)});
  }
  records[2].outcome = submission_outcome::kFailedNotRun;
  records[2].reason = "quota";
  run_report report = Summarise(plan, jobs, records, {{.kind = "leave_domain", .subject = "a<b"}});
  report.origin = {.scenario = "sample",
                   .workload = WorkloadDigest(plan),
                   .seed = 7,
                   .version = "0.0.0",
                   .command = "wagtail-load run",
                   .started_at = "2026-01-01T00:00:00Z"};
  return report;
}

}  // namespace

TEST_GROUP(Report){};

TEST(Report, DescribesByNearestRank) {
  std::vector<double> values(100);
  std::iota(values.rbegin(), values.rend(), 1);
  distribution result = Describe(values);
  CHECK(result.count == 100 && result.mean == 50.5 && result.max == 100);
  CHECK(result.p50 == 50 && result.p90 == 90 && result.p99 == 99);
  CHECK(Describe({3}).p99 == 3);
  CHECK(Describe({}).count == 0);
}

TEST(Report, CountsFromTheScheduledTime) {
  run_report report = SampleReport();
  CHECK(report.totals.jobs == 6 && report.totals.completed_tasks == 10);
  LONGS_EQUAL(5, report.response_ms.count);
  DOUBLES_EQUAL(1001, report.response_ms.max, 1e-9);
  DOUBLES_EQUAL(1, report.send_delay_ms.max, 1e-9);
  DOUBLES_EQUAL(1001.0 / 501, report.response_over_ideal.max, 1e-9);
  DOUBLES_EQUAL(701, report.failure_ms.mean, 1e-9);
  CHECK(report.reasons.size() == 1 && report.reasons[0].name == "quota");
  CHECK(report.seconds[2].arrived_jobs == 1 && report.seconds[2].failed_jobs == 1);
  CHECK(report.seconds[6].completed_jobs == 1 && report.seconds[6].arrived_jobs == 0);
}

TEST(Report, BoundsTheWorkOfTheWindowByTheCapacityLeft) {
  run_report report = SampleReport();
  CHECK(report.window.has_value());
  // Seconds 2 to 6; two seconds of work arrive in each of 2, 3, 4 and 5. Domain b alone does two.
  DOUBLES_EQUAL(2, report.window->from_s, 0);
  DOUBLES_EQUAL(7, report.window->to_s, 0);
  DOUBLES_EQUAL(8, report.window->offered_work_s, 1e-9);
  DOUBLES_EQUAL(6, report.window->completed_work_s, 1e-9);
  DOUBLES_EQUAL(8, *report.window->possible_work_s, 1e-9);
  // The jobs of seconds 3, 4 and 5; the one of second 2 failed.
  LONGS_EQUAL(3, report.window->response_over_ideal.count);
  DOUBLES_EQUAL(901.0 / 501, report.window->response_over_ideal.mean, 1e-9);
}

TEST(Report, SurvivesTheWayThroughJson) {
  std::string text = ToJsonText(SampleReport());
  auto read = ParseReport(text, "r.json");
  CHECK(read.ok());
  STRCMP_EQUAL(text.c_str(), ToJsonText(*read).c_str());
  STRCMP_EQUAL("0.0.0", read->origin.version.c_str());
}

TEST(Report, RefusesWhatIsNoResult) {
  for (const char* text : {"", "[]", "{}", R"({"format": "wagtail-load-result"})",
                           R"({"format": "wagtail-load-result", "format_version": 1})"}) {
    CHECK(ErrorOf<load_error>(ParseReport(text, "r.json").status()) == load_error::kBadResult);
  }
}

TEST(Report, ComparesResultsOfOneScenario) {
  run_report first = SampleReport();
  run_report second = first;
  second.response_ms.mean *= 2;
  second.origin.seed = 8;
  auto figures = Compare(first, second);
  CHECK(figures.ok());
  auto mean = std::ranges::find(*figures, "response, ms, mean", &compared_figure::name);
  CHECK(mean != figures->end());
  DOUBLES_EQUAL(2, *mean->Ratio(), 1e-9);
  std::string table = ToMarkdown(*figures, first, second);
  STRCMP_CONTAINS("| 2.000 |", table.c_str());
  STRCMP_CONTAINS("seeds differ", table.c_str());
}

TEST(Report, RefusesToCompareDifferentScenarios) {
  run_report first = SampleReport();
  run_report renamed = first;
  renamed.origin.scenario = "other";
  run_report changed = first;
  changed.origin.workload = "0000000000000000";
  for (const run_report& second : {renamed, changed}) {
    auto result = Compare(first, second);
    CHECK(ErrorOf<load_error>(result.status()) == load_error::kDifferentScenarios);
  }
  STRCMP_CONTAINS("'sample' and 'other'", MessageOf(Compare(first, renamed).status()).c_str());
}

TEST(Report, PlotsChangesAndEscapesNames) {
  std::string svg = PlotSvg(SampleReport());
  STRCMP_CONTAINS("leave a&lt;b", svg.c_str());
  CHECK(svg.starts_with("<svg ") && svg.ends_with("</svg>\n"));
  CHECK(svg.find("nan") == std::string::npos && svg.find("inf") == std::string::npos);
  std::string empty = PlotSvg({});
  CHECK(empty.find("nan") == std::string::npos && empty.find("inf") == std::string::npos);
}

TEST(Report, TellsHowMuchCountersGrew) {
  const std::string page =
      "# TYPE sent_total counter\n"
      "sent_total{peer=\"a} 9\"} 3\n"
      "sent_total{peer=\"b\"} 4.5\n"
      "sent_total_other 100\n"
      "sent_total 2";
  DOUBLES_EQUAL(9.5, SumOfSamples(page, "sent_total"), 1e-9);
  DOUBLES_EQUAL(0, SumOfSamples(page, "absent_total"), 0);
  auto page_of = [](double sum) {
    return counter_page{.url = "", .answered = true, .sums = {{"sent_total", sum}}};
  };
  // The second process restarted and the third never answered.
  const std::vector<counter_page> before = {page_of(10), page_of(10), {}};
  const std::vector<counter_page> after = {page_of(15), page_of(2), {}};
  const std::vector<std::string> names = {"sent_total"};
  auto growths = GrowthBetween(before, after, names);
  LONGS_EQUAL(1, growths.size());
  DOUBLES_EQUAL(7, growths[0].growth, 1e-9);
  LONGS_EQUAL(1, growths[0].missing_pages);
}

TEST(Report, JudgesAnswers) {
  auto outcome_of = [](int status, const std::string& body) {
    return JudgeAnswer({.status = status, .headers = {}, .body = body}, 2).outcome;
  };
  const std::string whole = R"({"outcome":"complete","results":[
    {"index":1,"status":"completed"},{"index":0,"status":"completed"}]})";
  CHECK(outcome_of(200, whole) == submission_outcome::kComplete);
  CHECK(outcome_of(200, R"({"outcome":"complete","results":[{"index":0,"status":"completed"}]})") ==
        submission_outcome::kBadAnswer);
  CHECK(outcome_of(200, R"({"outcome":"complete","results":[
    {"index":0,"status":"completed"},{"index":0,"status":"completed"}]})") ==
        submission_outcome::kBadAnswer);
  CHECK(outcome_of(200, "not json") == submission_outcome::kBadAnswer);
  CHECK(outcome_of(503, R"({"outcome":"failed_not_run"})") == submission_outcome::kFailedNotRun);
  CHECK(outcome_of(504, R"({"outcome":"failed_may_have_run"})") ==
        submission_outcome::kFailedMayHaveRun);
  CHECK(outcome_of(500, "") == submission_outcome::kBadAnswer);
}

}  // namespace wagtail
