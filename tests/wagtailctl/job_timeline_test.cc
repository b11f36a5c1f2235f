#include "utilities/wagtailctl/job_timeline.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <string>

#include "tests/wagtailctl/command_run.h"
// Included last: CppUTest's macros would break the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

/// Jobs in tests/wagtailctl/logs, which real processes logged under the fault soak.
constexpr const char* kRefusedJob = "e58aa12ace1b86db";
constexpr const char* kLostJob = "02474f0db2fcf3c2";

std::vector<std::string> LogFiles() {
  std::vector<std::string> files;
  std::string folder = std::string(std::getenv("WAGTAIL_SOURCE")) + "/tests/wagtailctl/logs";
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    files.push_back(entry.path().string());
  }
  std::ranges::sort(files);
  return files;
}

job_timeline TimelineOf(const std::string& job) {
  timeline_reader reader(job);
  for (const std::string& file : LogFiles()) {
    std::ifstream log(file);
    reader.Read(log, std::filesystem::path(file).stem().string());
  }
  return reader.Timeline();
}

}  // namespace

TEST_GROUP(JobTimeline){};

TEST(JobTimeline, ReportsWhyAJobWasRefused) {
  job_timeline timeline = TimelineOf(kRefusedJob);
  STRCMP_EQUAL("job_arrived", timeline.lines.front().fact.c_str());
  STRCMP_EQUAL("entry-1", timeline.lines.front().process.c_str());
  STRCMP_CONTAINS("reason=objective_out_of_reach", timeline.conclusion.c_str());
  STRCMP_CONTAINS("no target had free resources", timeline.cause.c_str());
  CHECK(!timeline.remedy.empty());
}

TEST(JobTimeline, ReportsAJobLostWithItsEntry) {
  job_timeline timeline = TimelineOf(kLostJob);
  STRCMP_CONTAINS("no answer on record", timeline.conclusion.c_str());
  STRCMP_CONTAINS("the entry ended", timeline.cause.c_str());
  auto entry_silent = std::ranges::find_if(timeline.lines, [](const timeline_event& line) {
    return line.fact == "run_stopping" && line.fields.find("entry_silent") != std::string::npos;
  });
  CHECK(entry_silent != timeline.lines.end());
  CHECK(entry_silent->of_job);
}

TEST(JobTimeline, LinesOfAllProcessesAreSortedByTime) {
  job_timeline timeline = TimelineOf(kLostJob);
  CHECK(std::ranges::is_sorted(timeline.lines, {}, &timeline_event::time));
  CHECK(std::ranges::any_of(timeline.lines, [](const timeline_event& line) {
    return !line.of_job && line.fact == "agent_lost" && line.process == "entry-0";
  }));
}

TEST(JobTimeline, SkipsPrefixesAndLinesWithoutJson) {
  std::istringstream log(
      "no JSON at all\n"
      "  36.1 front-2 {\"time\":\"2026-12-04T07:00:00.000001Z\",\"fact\":\"job_answered\","
      "\"job\":\"ab\",\"outcome\":\"refused\",\"reason\":\"overload\"}\n"
      "{\"time\":\"2026-12-04T07:00:00.0\n");
  timeline_reader reader("ab");
  reader.Read(log, "-");
  job_timeline timeline = reader.Timeline();
  CHECK_EQUAL(1, timeline.lines.size());
  STRCMP_EQUAL("front-2", timeline.lines[0].process.c_str());
  CHECK(!timeline.remedy.empty());
}

TEST(JobTimeline, ReportsAnUnknownJob) {
  job_timeline timeline = TimelineOf("ffffffffffffffff");
  CHECK(timeline.lines.empty());
  STRCMP_CONTAINS("no line about this job", timeline.conclusion.c_str());
}

TEST(JobTimeline, TheCommandReadsFilesOrStandardInput) {
  command_run run;
  std::vector<std::string> arguments = {"explain", kRefusedJob};
  std::ranges::copy(LogFiles(), std::back_inserter(arguments));
  command_result result = run.RunWithoutEntry(arguments);
  CHECK(result.code == exit_code::kDone);
  STRCMP_CONTAINS("cause: no target had free resources", result.out.c_str());
  run.in.str(R"({"time":"2026-12-04T07:00:00.000001Z","fact":"job_arrived","job":"ab"})"
             "\n");
  result = run.RunWithoutEntry({"--json", "explain", "ab"});
  STRCMP_CONTAINS("no answer on record", result.out.c_str());
}

}  // namespace wagtail
