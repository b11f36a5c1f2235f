#include <algorithm>
#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "tests/process/polling.h"
// Included last: CppUTest's macros would break the library headers.
#include "tests/process/cluster_test_group.h"

namespace wagtail {

namespace {

using json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kServiceUnavailable = 503;
// Far longer than the freshness limit of 3 s.
constexpr duration kOutage = std::chrono::seconds(10);

}  // namespace

TEST_GROUP_BASE(Operators, cluster_test_group){size_t AuditRecordsOf(const std::string& change_id){
    json trail = json::parse(cluster->Operator(0, "GET", "audit").body, nullptr, false);
if (!trail.is_object() || !trail.contains("audit")) {
  return 0;
}
return static_cast<size_t>(std::ranges::count_if(trail["audit"], [&](const json& record) {
  return record.value("change_id", "") == change_id;
}));
}  // namespace wagtail
// Runs small jobs at both entries in turn until `is_done` holds.
void RunJobs(caller& club, const std::function<bool()>& is_done) {
  for (size_t turn = 0; !is_done(); ++turn) {
    final_answer answer = club.Submit(turn % 2, club.Mint(turn % 2), JobOf(4, 20));
    STRCMP_EQUAL_TEXT("complete", answer.outcome().c_str(), answer.body.c_str());
  }
}
// Runs jobs until the target has started a task.
void RunJobsUntilStart(caller& club, size_t target) {
  uint64_t before = cluster->Starts(target);
  instant end = MonotonicNow() + kWaitTimeout;
  RunJobs(club, [&] { return cluster->Starts(target) > before || MonotonicNow() >= end; });
  CHECK(cluster->Starts(target) > before);
}
}
;

// Jobs continue during an outage of the table. A change is refused as not applied, and is accepted
// after the outage.
TEST(Operators, OutageOfTheTableStopsNoWorkAndNoLaterChange) {
  Launch({.targets = Courts(2)});
  caller club(*cluster);
  uint64_t version = cluster->Version(0);
  cluster->ControlPlatform({{"outage", true}});
  instant end = MonotonicNow() + kOutage;
  RunJobs(club, [&] { return MonotonicNow() >= end; });
  http_response refused = cluster->Change(0, "in-outage", version, "leave_domain", "kandy-1");
  LONGS_EQUAL(kServiceUnavailable, refused.status);
  CHECK(refused.body.find("not_applied") != std::string::npos);
  cluster->ControlPlatform({{"outage", false}});
  CHECK(Eventually([&] {
    return cluster->Change(0, "after-outage", version, "leave_domain", "kandy-1").status == kOk;
  }));
  CHECK(cluster->WaitInForce(0, version + 1));
  LONGS_EQUAL(0, AuditRecordsOf("in-outage"));
  LONGS_EQUAL(1, AuditRecordsOf("after-outage"));
}

// Jobs continue while the table is slower than its timeout, as in an outage.
TEST(Operators, SlowTableStopsNoWork) {
  Launch({.targets = Courts(2)});
  caller club(*cluster);
  cluster->ControlPlatform({{"slow_ms", 4000}});
  instant end = MonotonicNow() + kOutage;
  RunJobs(club, [&] { return MonotonicNow() >= end; });
  cluster->ControlPlatform({{"slow_ms", 0}});
  CHECK(cluster->WaitReady(2));
}

// A change whose answer was lost after the write is reported as committed, exactly once.
TEST(Operators, LostAnswerOfAChangeIsSettledAsCommittedOnce) {
  Launch({.targets = Courts(2)});
  uint64_t version = cluster->Version(0);
  cluster->ControlPlatform({{"lose_answers", true}});
  http_response first_answer =
      cluster->Change(0, "lost-answer", version, "leave_domain", "kandy-1");
  LONGS_EQUAL(kOk, first_answer.status);
  cluster->ControlPlatform({{"lose_answers", false}});
  LONGS_EQUAL(version + 1, json::parse(first_answer.body).value("version", uint64_t{0}));
  // A resubmission of the same change at the other entry has no effect.
  http_response again = cluster->Change(1, "lost-answer", version, "leave_domain", "kandy-1");
  STRCMP_EQUAL(first_answer.body.c_str(), again.body.c_str());
  CHECK(cluster->WaitInForce(0, version + 1));
  LONGS_EQUAL(version + 1, cluster->Version(0));
  LONGS_EQUAL(1, AuditRecordsOf("lost-answer"));
}

// Of concurrent changes one is committed, and the others are refused with a conflict.
TEST(Operators, ExactlyOneOfConcurrentChangesIsCommitted) {
  constexpr size_t kOperators = 8;
  Launch({.targets = Courts(2)});
  uint64_t version = cluster->Version(0);
  std::vector<std::future<http_response>> answers;
  for (size_t number = 0; number < kOperators; ++number) {
    answers.push_back(std::async(std::launch::async, [this, version, number] {
      return cluster->Change(number % 2, "race-" + std::to_string(number), version, "leave_domain",
                             number % 4 < 2 ? "kandy-1" : "kandy-2");
    }));
  }
  size_t won = 0;
  size_t lost = 0;
  for (std::future<http_response>& pending : answers) {
    int status = pending.get().status;
    won += status == kOk ? 1 : 0;
    lost += status == kConflict ? 1 : 0;
  }
  LONGS_EQUAL(1, won);
  LONGS_EQUAL(kOperators - 1, lost);
  CHECK(Eventually([&] { return cluster->Version(1) == version + 1; }));
}

// Once the change is in force, no task starts in a leaving failure domain; after its return, tasks
// start there again. Done twice in a row.
TEST(Operators, LeavingDomainStartsNothingAndReturnsToWork) {
  constexpr duration kLeavingTime = std::chrono::seconds(2);
  Launch({.targets = Courts(3)});
  caller club(*cluster);
  RunJobsUntilStart(club, 0);
  uint64_t version = cluster->Version(0);
  for (int round = 0; round < 2; ++round) {
    std::string number = std::to_string(round);
    LONGS_EQUAL(kOk,
                cluster->Change(0, "leave-" + number, version, "leave_domain", "kandy-1").status);
    CHECK(cluster->WaitInForce(0, ++version));
    uint64_t starts = cluster->Starts(0);
    instant end = MonotonicNow() + kLeavingTime;
    RunJobs(club, [&] { return MonotonicNow() >= end; });
    LONGS_EQUAL(starts, cluster->Starts(0));
    CHECK(cluster->target(0).IsRunning());
    LONGS_EQUAL(kOk,
                cluster->Change(1, "return-" + number, version, "return_domain", "kandy-1").status);
    CHECK(cluster->WaitInForce(1, ++version));
    RunJobsUntilStart(club, 0);
  }
}

// A leaving target receives no new tasks, and its waiting tasks move to other targets: no job
// fails.
TEST(Operators, LeavingTargetUnderLoadFailsNoJob) {
  constexpr size_t kJobs = 20;
  Launch({.targets = Courts(2, {.slots = 2})});
  caller club(*cluster);
  uint64_t version = cluster->Version(0);
  std::vector<std::future<final_answer>> answers;
  for (const std::string& id : club.Mint(0, kJobs)) {
    answers.push_back(club.SubmitLater(0, id, JobOf(4, 100)));
  }
  CHECK(Eventually([this] { return cluster->Starts(0) >= 2; }));
  LONGS_EQUAL(kOk, cluster->Change(1, "leave", version, "leave_target", "court-1").status);
  for (std::future<final_answer>& pending : answers) {
    STRCMP_EQUAL("complete", pending.get().outcome().c_str());
  }
  CHECK(cluster->WaitInForce(1, version + 1));
}

}  // namespace wagtail
