#include "wagtail_load/load_scenario.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

#include "settings/settings_text.h"
#include "tests/wagtail_load/sample_scenario.h"
#include "wagtail_load/load_error.h"
#include "wagtail_load/schedule.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string SampleWith(std::string_view from, std::string_view to) {
  std::string text(kSampleScenario);
  size_t at = text.find(from);
  VERIFY(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

bool AreSame(const planned_job& left, const planned_job& right) {
  auto same_task = [](const planned_task& a, const planned_task& b) {
    return a.service == b.service && a.run_ms == b.run_ms;
  };
  return left.at == right.at && left.entry == right.entry &&
         left.resubmitted == right.resubmitted &&
         std::ranges::equal(left.tasks, right.tasks, same_task);
}

}  // namespace

TEST_GROUP(Scenario){};

TEST(Scenario, ReadsEveryPart) {
  load_scenario plan = SampleScenario();
  CHECK(plan.seed == 7 && plan.length == seconds(1) && plan.workers == 8);
  CHECK(plan.services.size() == 2 && plan.services[0].name == "lamp" &&
        plan.services[0].weight == 3);
  CHECK(plan.job_sizes[1].tasks == 4 && plan.run_times[0].most == milliseconds(9));
  CHECK(plan.actions[1].kind == operator_change::kReturnDomain);
  CHECK(plan.token.Reveal() == "hunter2");
}

TEST(Scenario, RefusesBadValuesWithTheirPath) {
  struct refused {
    std::string_view from;
    std::string_view to;
    const char* message;
  };
  const std::vector<refused> texts = {
      {"\"seed\": 7", "\"sead\": 7", "/sead"},
      {"\"tasks\": 4", "\"tasks\": 691", "/job_sizes/1/tasks"},
      {"http://127.0.0.1:1", "127.0.0.1:1", "/entries/0"},
      {"\"from_ms\": 0", "\"from_ms\": 5", "/arrivals"},
      {"\"least_ms\": 1", "\"least_ms\": 10", "/run_times/0/least_ms"},
      {"\"at_ms\": 600", "\"at_ms\": 100", "/changes/1/at_ms"},
      {"\"at_ms\": 600", "\"at_ms\": 1000", "/changes/1/at_ms"},
      {"\"kind\": \"return_domain\"", "\"kind\": \"gone\"", "/changes/1/kind"},
      {"\"workers\": 8", "\"workers\": 257", "/workers"},
      {", \"operator_token\": \"hunter3\"", "", "/operator_token"},
  };
  for (const refused& text : texts) {
    auto result = ParseScenario(SampleWith(text.from, text.to), "bad.jsonc");
    CHECK(ErrorOf<load_error>(result.status()) == load_error::kBadScenario);
    STRCMP_CONTAINS(text.message, MessageOf(result.status()).c_str());
    CHECK(MessageOf(result.status()).find("hunter") == std::string::npos);
  }
}

TEST(Scenario, DigestsTheWorkloadOnly) {
  std::string digest = WorkloadDigest(SampleScenario());
  auto digest_with = [](std::string_view from, std::string_view to) {
    return WorkloadDigest(*ParseScenario(SampleWith(from, to), "other.jsonc"));
  };
  CHECK(digest == digest_with("\"seed\": 7", "\"seed\": 8"));
  CHECK(digest == digest_with("http://127.0.0.1:1", "http://127.0.0.1:2"));
  CHECK(digest != digest_with("\"jobs_per_second\": 50", "\"jobs_per_second\": 51"));
  CHECK(digest != digest_with("\"at_ms\": 600", "\"at_ms\": 601"));
}

TEST(Scenario, EveryShippedScenarioIsGood) {
  std::filesystem::path folder =
      std::filesystem::path(std::getenv("WAGTAIL_SOURCE")) / "docs" / "scenarios";
  int count = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    if (file.path().extension() != ".jsonc") {
      continue;
    }
    auto plan = ParseScenario(*ReadTextFile(file.path()), file.path().string());
    STRCMP_EQUAL("", MessageOf(plan.status()).c_str());
    CHECK(MakeSchedule(*plan).ok());
    ++count;
  }
  CHECK(count >= 4);
}

TEST_GROUP(Schedule){};

TEST(Schedule, DependsOnTheSeedOnly) {
  load_scenario plan = SampleScenario();
  auto first = *MakeSchedule(plan);
  CHECK(std::ranges::equal(first, *MakeSchedule(plan), AreSame));
  plan.seed = 8;
  CHECK_FALSE(std::ranges::equal(first, *MakeSchedule(plan), AreSame));
}

TEST(Schedule, FollowsRatesAndMixes) {
  load_scenario plan = SampleScenario();
  plan.length = seconds(200);
  plan.arrivals = {{.from = seconds(0), .jobs_per_second = 0},
                   {.from = seconds(100), .jobs_per_second = 100}};
  auto jobs = *MakeSchedule(plan);
  // Five standard deviations of a Poisson count of 10,000; the seed is fixed.
  CHECK(jobs.size() > 9'500 && jobs.size() < 10'500);
  CHECK(jobs.front().at >= seconds(100) && jobs.back().at < seconds(200));
  CHECK(std::ranges::is_sorted(jobs, {}, &planned_job::at));
  auto share = [&](auto predicate) {
    return static_cast<double>(std::ranges::count_if(jobs, predicate)) /
           static_cast<double>(jobs.size());
  };
  DOUBLES_EQUAL(0.25, share([](const planned_job& job) { return job.tasks.size() == 4; }), 0.03);
  DOUBLES_EQUAL(0.2, share([](const planned_job& job) { return job.resubmitted; }), 0.03);
  DOUBLES_EQUAL(0.75, share([](const planned_job& job) { return job.tasks[0].service == 0; }),
                0.03);
  CHECK(std::ranges::all_of(jobs, [](const planned_job& job) {
    return job.tasks[0].run_ms >= 1 && job.tasks[0].run_ms <= 9;
  }));
}

TEST(Schedule, RefusesMoreThanItHolds) {
  load_scenario plan = SampleScenario();
  plan.length = std::chrono::hours(24);
  plan.arrivals = {{.from = {}, .jobs_per_second = 1000}};
  CHECK(ErrorOf<load_error>(MakeSchedule(plan).status()) == load_error::kTooMuchWork);
}

TEST(Schedule, TakesTheLongestTaskOnTheFastestTargetAsIdeal) {
  planned_job job{.tasks = {{.run_ms = 100}, {.run_ms = 300}}};
  ideal_model ideal{.fastest_speed = 2, .overhead = milliseconds(1)};
  CHECK(IdealResponse(job, ideal) == milliseconds(151));
  DOUBLES_EQUAL(0.4, WorkOf(job), 1e-9);
}

}  // namespace wagtail
