#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "scheduler/job_scheduler.h"
#include "tests/scheduler/overloaded_entry.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

/// What can be observed of one load: answers by request, orders and events.
struct observed_load {
  std::vector<std::string> answers;
  std::vector<std::string> ordered;
  std::map<std::string, std::multiset<std::string>> events;
};

observed_load RunOverload(overloaded_entry& entry, unsigned priority) {
  entry.AddTarget(1);
  for (unsigned round = 0; round < 20; ++round) {
    entry.SubmitMany(1 + round * 20, 12, priority);
    entry.RunFor(Ms(50));
  }
  entry.RunFor(Ms(3000));
  observed_load seen{.answers = {}, .ordered = entry.ordered, .events = entry.events};
  for (const auto& [serial, answer] : entry.answers) {
    seen.answers.push_back(std::to_string(serial) + " " +
                           std::to_string(static_cast<int>(answer.outcome)) + " " + answer.reason +
                           " " + std::to_string(answer.retry_after.count()));
  }
  return seen;
}

job_scheduler_options CountingPolicy(int& calls) {
  job_scheduler_options options;
  options.overload = [&calls](std::span<const waiting_job> jobs, const overload_capacity& capacity,
                              instant now) {
    ++calls;
    return MakeOverloadPolicy({})(jobs, capacity, now);
  };
  return options;
}

}  // namespace

TEST_GROUP(JobOverload) {
  overloaded_entry entry;

  void setup() override { entry.SetQueues({0, 1, 2}); }

  /// Fills the targets and lets jobs of the lowest priority wait for as long as they are useful.
  void DelayJobs(unsigned count) {
    entry.AddTarget(1);
    entry.SetFull(true);
    entry.SubmitMany(100, count, 2);
  }

  bool WasOrdered(const std::string& job) const {
    return std::ranges::find(entry.ordered, job) != entry.ordered.end();
  }
};

// A caller whose job is refused as not run sends it elsewhere: a task of it that ran here, before
// or after the refusal, would run twice.
TEST(JobOverload, ADisplacedJobIsRefusedAndNoneOfItsTasksIsEverOrdered) {
  DelayJobs(25);
  size_t refused_on_arrival = entry.CountOf(job_outcome::kRefused);
  entry.SubmitMany(200, 20, 0);
  entry.scheduler.Tick(entry.now);
  CHECK(entry.CountOf(job_outcome::kRefused, "displaced") > 0);
  CHECK(refused_on_arrival < 25);
  entry.SetFull(false);
  entry.RunFor(Ms(3000));
  CHECK_EQUAL(45, entry.answers.size());
  CHECK(!entry.events["job_displaced"].empty());
  for (const std::string& job : entry.events["job_displaced"]) {
    CHECK(!WasOrdered(job));
  }
  for (const auto& [serial, answer] : entry.answers) {
    if (answer.reason == "displaced") {
      CHECK(answer.outcome == job_outcome::kRefused);
      CHECK(serial < 200);  // the highest priority is not displaced by lower ones
    }
  }
}

// The new caller of the highest priority is served instead of those who wait already.
TEST(JobOverload, JobsOfTheHighestPriorityGoBeforeDelayedOnes) {
  DelayJobs(10);
  entry.SubmitMany(200, 3, 0);
  entry.SetFull(false);
  entry.scheduler.Place(entry.now);
  CHECK(entry.ordered.size() >= 6);
  for (size_t number = 0; number < 6; ++number) {
    CHECK(entry.ordered[number].starts_with("0-"));
  }
}

// Bursts are short: a job that waits until they are over is better than a refused one.
TEST(JobOverload, ADelayedJobIsServedWhenTargetsAreFreeAgain) {
  DelayJobs(5);
  CHECK(!entry.events["job_delayed"].empty());
  CHECK_EQUAL(0, entry.answers.size());
  entry.RunFor(Ms(300));  // past the objectives
  CHECK_EQUAL(0, entry.answers.size());
  entry.SetFull(false);
  entry.RunFor(Ms(300));
  CHECK_EQUAL(5, entry.CountOf(job_outcome::kCompleted));
}

TEST(JobOverload, AJobThatIsNotAnsweredUsefullyAnyMoreIsRefusedBeforeItsDeadline) {
  DelayJobs(5);
  entry.RunFor(Ms(700));
  CHECK_EQUAL(5, entry.CountOf(job_outcome::kRefused));
  CHECK_EQUAL(0, entry.ordered.size());
}

// Callers refused together would return together, and be refused together again. They are told
// whole seconds, rounded up.
TEST(JobOverload, CallersRefusedTogetherAreToldDifferentTimesToReturn) {
  DelayJobs(200);
  std::map<int64_t, size_t> callers;
  for (const auto& [serial, answer] : entry.answers) {
    CHECK(answer.retry_after >= Ms(1000));
    CHECK(answer.retry_after <= Ms(10'000));
    ++callers[std::chrono::ceil<std::chrono::seconds>(answer.retry_after).count()];
  }
  CHECK(entry.answers.size() >= 100);
  for (const auto& [seconds, count] : callers) {
    CHECK(count <= entry.answers.size() * 2 / 3);
  }
}

// Without capacity the backlog has no end, and the longest time is told; not to all callers.
TEST(JobOverload, CallersRefusedWithoutCapacityAreToldDifferentTimesToReturn) {
  entry.scheduler.Tick(entry.now);
  entry.SubmitMany(100, 100, 2);
  entry.now += Ms(1600);  // past the grace for targets to return, and past all latest starts
  entry.scheduler.Tick(entry.now);
  CHECK_EQUAL(100, entry.CountOf(job_outcome::kRefused));
  std::map<int64_t, size_t> callers;
  for (const auto& [serial, answer] : entry.answers) {
    CHECK(answer.retry_after <= Ms(10'000));
    ++callers[std::chrono::ceil<std::chrono::seconds>(answer.retry_after).count()];
  }
  for (const auto& [seconds, count] : callers) {
    CHECK(count <= 100 * 2 / 3);
  }
}

TEST(JobOverload, NothingIsRefusedWhoseFirstTasksCanStart) {
  entry.AddTarget(1);
  entry.SubmitMany(100, 4, 2);
  entry.SubmitMany(200, 1, 0);
  entry.RunFor(Ms(200));
  CHECK_EQUAL(5, entry.CountOf(job_outcome::kCompleted));
}

// A lost agent halves the capacity: what no longer fits is refused in time for its callers, the
// rest is served, and no request stays without an answer.
TEST(JobOverload, ALostAgentRefusesWhatNoLongerFitsAndLosesNothing) {
  entry.AddTarget(1);
  entry.AddTarget(2);
  entry.SetFull(true);
  entry.SubmitMany(100, 60, 2);
  size_t refused = entry.CountOf(job_outcome::kRefused);
  CHECK(refused < 60);
  entry.LoseTarget(2);
  entry.scheduler.Tick(entry.now);
  CHECK(entry.CountOf(job_outcome::kRefused) > refused);
  CHECK(entry.scheduler.jobs() > 0);
  entry.SetFull(false);
  entry.RunFor(Ms(3000));
  CHECK_EQUAL(60, entry.answers.size());
  CHECK_EQUAL(60, entry.CountOf(job_outcome::kRefused) + entry.CountOf(job_outcome::kCompleted));
  for (const std::string& job : entry.events["job_displaced"]) {
    CHECK(!WasOrdered(job));
  }
}

// Tasks of a begun job that were at the lost agent wait until they can't run there any more. The
// job has begun, so that a refusal as not run would not be true.
TEST(JobOverload, ABegunJobOfALostAgentIsNotRefused) {
  entry.AddTarget(1);
  entry.SubmitMany(100, 1, 2);
  CHECK_EQUAL(2, entry.ordered.size());
  entry.AddTarget(2);
  entry.LoseTarget(1);
  entry.SetFull(true);
  entry.SubmitMany(200, 20, 0);
  entry.RunFor(Ms(1300));
  CHECK_FALSE(entry.answers.contains(100));
  entry.SetFull(false);
  entry.RunFor(Ms(600));
  CHECK(entry.answers.at(100).outcome == job_outcome::kCompleted);
}

// After a restart of the entry or a network cut the agents are about to return: jobs wait for them,
// as they do where all queues have one priority.
TEST(JobOverload, JobsWaitForTheFirstTargetToReturn) {
  entry.scheduler.Tick(entry.now);
  entry.SubmitMany(100, 3, 2);
  entry.RunFor(Ms(50));
  CHECK_EQUAL(0, entry.answers.size());
  entry.AddTarget(1);
  entry.RunFor(Ms(300));
  CHECK_EQUAL(3, entry.CountOf(job_outcome::kCompleted));
}

TEST(JobOverload, ADrainingEntryServesItsDelayedJobsAndRefusesTheRestAsNotRun) {
  DelayJobs(10);
  CHECK_EQUAL(0, entry.answers.size());
  entry.scheduler.DrainUntil(entry.now + Ms(150));
  entry.Submit(300, 0, "new");
  CHECK(entry.answers.at(300).reason == "stopping");
  entry.RunFor(Ms(100));
  entry.SetFull(false);
  entry.scheduler.Place(entry.now);  // some begin, too late to end
  CHECK(!entry.ordered.empty());
  entry.scheduler.AbandonAll("stopping");
  CHECK_EQUAL(11, entry.answers.size());
  for (unsigned serial = 100; serial < 110; ++serial) {
    bool has_begun = WasOrdered("2-" + std::to_string(serial));
    CHECK(entry.answers.at(serial).outcome ==
          (has_begun ? job_outcome::kAbandoned : job_outcome::kRefused));
  }
}

// A caller that sends again what waits already must not be counted, or run, as a second job.
TEST(JobOverload, AResubmissionJoinsADelayedJob) {
  DelayJobs(5);
  CHECK(entry.events["job_delayed"].contains("2-104"));
  entry.Submit(300, 2, "2-104");
  CHECK_EQUAL(5, entry.scheduler.jobs());
  entry.SetFull(false);
  entry.RunFor(Ms(300));
  CHECK(entry.answers.at(104).outcome == job_outcome::kCompleted);
  CHECK(entry.answers.at(300).outcome == job_outcome::kCompleted);
  CHECK_EQUAL(2, std::ranges::count(entry.ordered, "2-104"));
}

TEST(JobOverload, AllRequestsOfADisplacedJobAreRefused) {
  DelayJobs(20);
  for (unsigned serial = 100; serial < 120; ++serial) {
    if (!entry.answers.contains(serial)) {
      entry.Submit(serial + 1000, 2, "2-" + std::to_string(serial));
    }
  }
  entry.SubmitMany(200, 40, 0);
  entry.scheduler.Tick(entry.now);
  CHECK(!entry.events["job_displaced"].empty());
  for (const std::string& job : entry.events["job_displaced"]) {
    request_serial serial = std::stoul(job.substr(2));
    CHECK(entry.answers.at(serial).reason == "displaced");
    CHECK(entry.answers.at(serial + 1000).reason == "displaced");
  }
}

// Jobs are counted by these events: one that is delayed, then expected in time and delayed again is
// still one job.
TEST(JobOverload, AJobIsReportedAsDelayedOnce) {
  DelayJobs(2);
  CHECK_EQUAL(1, entry.events["job_delayed"].count("2-101"));
  entry.scheduler.CallerGone(100);
  entry.scheduler.Tick(entry.now);  // nothing is before it any more
  entry.Submit(200, 0, "high");
  entry.Submit(201, 0, "higher");
  entry.scheduler.Tick(entry.now);
  CHECK_EQUAL(1, entry.events["job_delayed"].count("2-101"));
}

// Metrics count by queue.
TEST(JobOverload, DecisionsTellTheQueue) {
  DelayJobs(25);
  entry.SubmitMany(200, 20, 0);
  CHECK(!entry.events["job_displaced"].empty());
  for (const char* fact : {"job_delayed", "job_displaced", "job_refused"}) {
    for (const std::string& job : entry.events[fact]) {
      STRCMP_EQUAL(job.substr(0, 1).c_str(), entry.queues.at(job).c_str());
    }
  }
}

// The policy is opt-in: queues of one priority are served as before it was added.
TEST_GROUP(OnePriority){};

TEST(OnePriority, QueuesOfOnePriorityAreDecidedAsWithoutThePolicy) {
  for (unsigned priority : {0U, 3U}) {
    int calls = 0;
    overloaded_entry with(CountingPolicy(calls));
    with.SetQueues({priority, priority});
    overloaded_entry without;  // has no plan, hence no queues that differ
    observed_load one = RunOverload(with, priority);
    observed_load other = RunOverload(without, priority);
    CHECK_EQUAL(0, calls);
    CHECK(std::ranges::any_of(one.answers, [](const std::string& answer) {
      return answer.find("overload") != std::string::npos;  // the load was above the capacity
    }));
    CHECK(one.answers == other.answers);
    CHECK(one.ordered == other.ordered);
    CHECK(one.events == other.events);
  }
}

// Another service with several priorities does not activate the policy for this one.
TEST(OnePriority, TheQueuesOfOtherServicesDoNotCount) {
  int calls = 0;
  overloaded_entry entry(CountingPolicy(calls));
  operating_plan plan;
  plan.queues = {{.name = "1", .service = "lights", .priority = 1},
                 {.name = "a", .service = "doors", .priority = 0},
                 {.name = "b", .service = "doors", .priority = 2}};
  entry.scheduler.SetPlan(plan);
  overloaded_entry without;
  observed_load one = RunOverload(entry, 1);
  observed_load other = RunOverload(without, 1);
  CHECK(one.answers == other.answers);
  CHECK(one.ordered == other.ordered);
  CHECK(one.events["job_delayed"].empty());
}

TEST(OnePriority, APlanWithSeveralPrioritiesActivatesThePolicy) {
  int calls = 0;
  overloaded_entry entry(CountingPolicy(calls));
  entry.SetQueues({0, 1});
  RunOverload(entry, 1);
  CHECK(calls > 0);
}

}  // namespace wagtail::leased
