#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "http/http_client.h"
#include "http/http_error.h"
#include "http/http_server.h"
#include "tests/wagtail_load/sample_scenario.h"
#include "wagtail_load/load_runner.h"
#include "wagtail_load/stand_in_check.h"
#include "wagtail_load/statistics.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

using nlohmann::json;

/// Answers the entries' API at once, and notes what it was asked.
class fake_entry {
 public:
  explicit fake_entry(int refuse_every = 0) : refuse_every_(refuse_every) {
    auto server =
        http_server::Start({}, [this](const http_request& request) { return Answer(request); });
    VERIFY(server.ok());
    server_ = *std::move(server);
  }

  std::string Url() const { return "http://127.0.0.1:" + std::to_string(server_->port()); }
  void Stop() { server_->Stop(); }

  size_t submissions() const { return submissions_; }
  size_t jobs() const { return jobs_.size(); }
  size_t changes() const { return change_ids_.size(); }

 private:
  static constexpr std::string_view kJobs = "/v1/jobs/";

  http_response Answer(const http_request& request) {
    std::lock_guard lock(mutex_);
    if (request.path == "/v1/operator/changes") {
      VERIFY(request.headers.at("authorization") == "Bearer hunter3");
      change_ids_.insert(json::parse(request.body).at("change_id").get<std::string>());
      return {.status = 200, .headers = {}, .body = R"({"version":1})"};
    }
    VERIFY(request.headers.at("authorization") == "Bearer hunter2");
    if (request.path == "/v1/job-ids") {
      return MintIds(json::parse(request.body).at("count").get<int>());
    }
    if (request.path == "/v1/jobs") {
      return RunJob(request.headers.at("idempotency-key"), json::parse(request.body));
    }
    VERIFY(request.path.starts_with(kJobs));
    return RunJob(request.path.substr(kJobs.size()), json::parse(request.body));
  }

  http_response MintIds(int count) {
    json ids = json::array();
    for (int i = 0; i < count; ++i) {
      ids.push_back("id-" + std::to_string(minted_++));
    }
    return {.status = 200, .headers = {}, .body = json{{"ids", ids}}.dump()};
  }

  http_response RunJob(const std::string& id, const json& body) {
    ++submissions_;
    jobs_.insert(id);
    VERIFY(body.at("deadline_ms") == 800);
    if (refuse_every_ > 0 && submissions_ % static_cast<size_t>(refuse_every_) == 0) {
      return {.status = 429,
              .headers = {},
              .body = R"({"outcome":"failed_not_run","reason":"quota","retry_after_ms":10})"};
    }
    json results = json::array();
    for (size_t i = 0; i < body.at("tasks").size(); ++i) {
      VERIFY(json::parse(body["tasks"][i].at("body").get<std::string>()).contains("run_ms"));
      results.push_back({{"index", i}, {"target", "t1"}, {"status", "completed"}, {"body", ""}});
    }
    json answer = {{"job", id}, {"outcome", "complete"}, {"results", results}};
    return {.status = 200, .headers = {}, .body = answer.dump()};
  }

  const int refuse_every_;
  std::mutex mutex_;
  size_t minted_ = 0;
  size_t submissions_ = 0;
  std::set<std::string> jobs_;
  std::set<std::string> change_ids_;
  std::unique_ptr<http_server> server_;
};

uint64_t CountOf(const run_report& report, submission_outcome outcome) {
  return std::ranges::find(report.outcomes, ToText(outcome), &named_count::name)->count;
}

}  // namespace

TEST_GROUP(LoadRun) {
  load_scenario plan_ = SampleScenario();
  std::atomic<bool> stop_ = false;

  run_report Run() {
    auto jobs = *MakeSchedule(plan_);
    run_outcome outcome = RunSchedule(plan_, jobs, CallHttp, stop_);
    return Summarise(plan_, jobs, outcome.records, std::move(outcome.changes));
  }
};

TEST(LoadRun, SendsTheWholeScheduleToAnEntry) {
  fake_entry entry;
  plan_.entries = {entry.Url()};
  run_report report = Run();
  CHECK(report.totals.jobs > 20);
  LONGS_EQUAL(report.totals.jobs, CountOf(report, submission_outcome::kComplete));
  LONGS_EQUAL(report.totals.jobs, entry.jobs());
  CHECK(report.totals.resubmitted_jobs > 0);
  LONGS_EQUAL(report.totals.jobs + report.totals.resubmitted_jobs, entry.submissions());
  LONGS_EQUAL(0, report.totals.differing_answers);
  LONGS_EQUAL(2, entry.changes());
  CHECK(report.changes[0].status == 200 && report.changes[1].kind == "return_domain");
}

TEST(LoadRun, TellsRefusalsWithTheirReason) {
  fake_entry entry(5);
  plan_.entries = {entry.Url()};
  plan_.resubmitted_share = 0;
  run_report report = Run();
  LONGS_EQUAL(report.totals.jobs / 5, CountOf(report, submission_outcome::kFailedNotRun));
  LONGS_EQUAL(report.totals.jobs - report.totals.jobs / 5,
              CountOf(report, submission_outcome::kComplete));
  STRCMP_EQUAL("quota", report.reasons[0].name.c_str());
}

TEST(LoadRun, TurnsToAnotherEntryWhenOneIsGone) {
  fake_entry gone;
  fake_entry entry;
  plan_.entries = {gone.Url(), entry.Url()};
  plan_.resubmitted_share = 0;
  gone.Stop();
  run_report report = Run();
  LONGS_EQUAL(report.totals.jobs, CountOf(report, submission_outcome::kComplete));
  LONGS_EQUAL(2, entry.changes());
}

TEST(LoadRun, ResubmitsUnderTheSameIdWhenNoAnswerCame) {
  fake_entry first;
  fake_entry second;
  plan_.entries = {first.Url(), second.Url()};
  plan_.resubmitted_share = 0;
  auto lossy_call = [&](const http_call& call) -> absl::StatusOr<http_response> {
    auto answer = CallHttp(call);
    bool lost = call.method == "PUT" && call.url.starts_with(first.Url());
    return lost ? MakeError(http_error::kNoAnswer, "lost") : answer;
  };
  auto jobs = *MakeSchedule(plan_);
  run_outcome outcome = RunSchedule(plan_, jobs, lossy_call, stop_);
  run_report report = Summarise(plan_, jobs, outcome.records, outcome.changes);
  LONGS_EQUAL(report.totals.jobs, CountOf(report, submission_outcome::kComplete));
  CHECK(report.totals.lost_resubmissions > 0);
  LONGS_EQUAL(first.submissions(), report.totals.lost_resubmissions);
  LONGS_EQUAL(report.totals.jobs, second.submissions());
}

TEST(LoadRun, SendsKeysOfItsOwn) {
  fake_entry entry;
  plan_.entries = {entry.Url()};
  plan_.ids = id_source::kOwnKeys;
  run_report report = Run();
  LONGS_EQUAL(report.totals.jobs, CountOf(report, submission_outcome::kComplete));
  LONGS_EQUAL(report.totals.jobs, entry.jobs());
}

TEST(LoadRun, SendsNothingOnceStopped) {
  fake_entry entry;
  plan_.entries = {entry.Url()};
  stop_ = true;
  run_report report = Run();
  LONGS_EQUAL(report.totals.jobs, CountOf(report, submission_outcome::kNotSent));
  LONGS_EQUAL(0, entry.submissions());
}

TEST(LoadRun, ChecksThatStandInsRanNothingTwice) {
  auto stand_in = [](const char* body) {
    return [body](const http_call& call) -> absl::StatusOr<http_response> {
      VERIFY(call.url == "http://127.0.0.1:9/control");
      return http_response{.status = 200, .headers = {}, .body = body};
    };
  };
  const std::vector<std::string> urls = {"http://127.0.0.1:9"};
  CHECK_TRUE(AllStartedOnce(CheckStandIns(urls, stand_in(R"({"doubled":0,"started":5})"))));
  CHECK_FALSE(AllStartedOnce(CheckStandIns(urls, stand_in(R"({"doubled":1})"))));
  CHECK_FALSE(AllStartedOnce(CheckStandIns(urls, stand_in("{}"))));
  CHECK_FALSE(AllStartedOnce(CheckStandIns(urls, stand_in("nonsense"))));
}

}  // namespace wagtail
