#include <chrono>
#include <optional>
#include <thread>

#include "services/dispatchd/first_plan_gate.h"
#include "services/dispatchd/front_filters.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

}  // namespace

TEST_GROUP(FirstPlan) {
  static constexpr first_plan_options kOptions{};
  instant started{};
  std::vector<job_submission> submitted;
  bool busy = false;
  std::optional<duration> plan_after = Ms(0);  ///< delay of the first plan; nothing: too late
  std::optional<duration> deadline_seen;

  front_hooks Hooks() {
    front_hooks hooks;
    hooks.stopping = [] { return false; };
    hooks.busy = [this] { return busy; };
    hooks.await_plan = [this](duration deadline) {
      deadline_seen = deadline;
      return plan_after;
    };
    hooks.queue = [](const std::string&, const std::string&) {
      return queue_match{.max_body_bytes = 10'000,
                         .queue = queue_plan{.name = "q", .path_prefix = "/q/", .service = "s"}};
    };
    hooks.in_progress = [](std::string_view) { return false; };
    hooks.submit = [this](front_request& request) {
      submitted.push_back(request.submission);
      return http_response{.status = 200, .headers = {}, .body = "{}"};
    };
    return hooks;
  }
  http_response Post() {
    http_request request;
    request.method = "POST";
    request.path = "/q/5c0e7a21d94b36f8";
    request.headers["deadline-ms"] = "1500";
    request.body =
        R"({"job_spec":"on","best_effort":true,"steps":[{"count":1,"cpu":500,"mem_mb":1,"estimate_ms":60}]})";
    return RunFrontFilters(MakeFrontFilters(Hooks()), request);
  }
};

// All entries start at once, and callers reconnect before the plan arrives.
TEST(FirstPlan, IsAwaitedAfterAStart) {
  instant arrived = started + Ms(100);
  CHECK(FirstPlanDeadline(kOptions, started, arrived, Ms(1500)) == arrived + Ms(750));
}

TEST(FirstPlan, IsNotAwaitedLongAfterAStart) {
  instant arrived = started + kOptions.grace - Ms(10);
  CHECK(FirstPlanDeadline(kOptions, started, arrived, Ms(1500)) == arrived + Ms(10));
  arrived = started + kOptions.grace + Ms(1);
  CHECK(FirstPlanDeadline(kOptions, started, arrived, Ms(1500)) < arrived);
}

TEST(FirstPlan, OpensTheGateForWaitingRequests) {
  first_plan_gate gate;
  CHECK(!gate.WaitFor(Ms(0)));
  bool opened = false;
  std::thread waiter([&] { opened = gate.WaitFor(std::chrono::minutes(1)); });
  gate.Open();
  waiter.join();
  CHECK(opened);
  CHECK(gate.WaitFor(Ms(0)));
}

TEST(FirstPlan, ARequestThatWaitedHasLessTimeLeft) {
  plan_after = Ms(400);
  CHECK_EQUAL(200, Post().status);
  CHECK(deadline_seen == Ms(1500));
  CHECK(submitted.at(0).deadline == Ms(1100));
}

TEST(FirstPlan, ARequestWithoutAPlanIsRefusedAsNotRun) {
  plan_after.reset();
  CHECK_EQUAL(503, Post().status);
  CHECK_EQUAL(0, submitted.size());
}

TEST(FirstPlan, AnOverloadedEntryRefusesBeforeItReadsTheJob) {
  busy = true;
  http_request request;
  request.method = "POST";
  request.path = "/no/such/queue";
  http_response refusal = RunFrontFilters(MakeFrontFilters(Hooks()), request);
  CHECK_EQUAL(503, refusal.status);
  STRCMP_EQUAL("close", refusal.headers["connection"].c_str());
  CHECK(refusal.headers.contains("retry-after"));
  CHECK_EQUAL(0, submitted.size());
}

}  // namespace wagtail::leased
