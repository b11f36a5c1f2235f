#include "utilities/wagtailctl/job_story.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <string>

#include "tests/wagtailctl/command_run.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

/// Jobs in tests/wagtailctl/logs, lines of real processes under the fault soak.
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

job_story StoryOf(const std::string& job) {
  story_reader reader(job);
  for (const std::string& file : LogFiles()) {
    std::ifstream log(file);
    reader.Read(log, std::filesystem::path(file).stem().string());
  }
  return reader.Story();
}

}  // namespace

TEST_GROUP(JobStory){};

TEST(JobStory, TellsWhyAJobWasRefused) {
  job_story story = StoryOf(kRefusedJob);
  STRCMP_EQUAL("job_arrived", story.lines.front().fact.c_str());
  STRCMP_EQUAL("entry-1", story.lines.front().process.c_str());
  STRCMP_CONTAINS("reason=objective_out_of_reach", story.conclusion.c_str());
  STRCMP_CONTAINS("no target had room", story.cause.c_str());
  CHECK(!story.remedy.empty());
}

TEST(JobStory, TellsOfAJobThatWasLostWithItsEntry) {
  job_story story = StoryOf(kLostJob);
  STRCMP_CONTAINS("no answer on record", story.conclusion.c_str());
  STRCMP_CONTAINS("the entry ended", story.cause.c_str());
  auto silent = std::ranges::find_if(story.lines, [](const story_line& line) {
    return line.fact == "run_stopping" && line.fields.find("entry_silent") != std::string::npos;
  });
  CHECK(silent != story.lines.end());
  CHECK(silent->of_job);
}

TEST(JobStory, LinesStandInOrderOfTimeAcrossProcesses) {
  job_story story = StoryOf(kLostJob);
  CHECK(std::ranges::is_sorted(story.lines, {}, &story_line::time));
  CHECK(std::ranges::any_of(story.lines, [](const story_line& line) {
    return !line.of_job && line.fact == "agent_lost" && line.process == "entry-0";
  }));
}

TEST(JobStory, ReadsLinesWithTextBeforeThemAndSkipsOthers) {
  std::istringstream log(
      "no JSON at all\n"
      "  36.1 front-2 {\"time\":\"2026-12-04T07:00:00.000001Z\",\"fact\":\"job_answered\","
      "\"job\":\"ab\",\"outcome\":\"refused\",\"reason\":\"overload\"}\n"
      "{\"time\":\"2026-12-04T07:00:00.0\n");
  story_reader reader("ab");
  reader.Read(log, "-");
  job_story story = reader.Story();
  CHECK_EQUAL(1, story.lines.size());
  STRCMP_EQUAL("front-2", story.lines[0].process.c_str());
  CHECK(!story.remedy.empty());
}

TEST(JobStory, SaysSoWhenNothingIsKnownOfAJob) {
  job_story story = StoryOf("ffffffffffffffff");
  CHECK(story.lines.empty());
  STRCMP_CONTAINS("no line about this job", story.conclusion.c_str());
}

TEST(JobStory, TheCommandReadsFilesOrStandardInput) {
  command_run run;
  std::vector<std::string> arguments = {"explain", kRefusedJob};
  std::ranges::copy(LogFiles(), std::back_inserter(arguments));
  command_result told = run.RunPlain(arguments);
  CHECK(told.code == exit_code::kDone);
  STRCMP_CONTAINS("cause: no target had room", told.out.c_str());
  run.in.str(R"({"time":"2026-12-04T07:00:00.000001Z","fact":"job_arrived","job":"ab"})"
             "\n");
  told = run.RunPlain({"--json", "explain", "ab"});
  STRCMP_CONTAINS("no answer on record", told.out.c_str());
}

}  // namespace wagtail
