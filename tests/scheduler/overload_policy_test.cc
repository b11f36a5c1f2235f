#include "scheduler/overload_policy.h"

#include <algorithm>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr instant kNow{std::chrono::seconds(1000)};
constexpr double kOneCore = 1000;
constexpr double kWorkPerMs = 1e6;  ///< one millisecond of one core

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

/// A job whose wait may use all of its slack: `latest_start_ms`.
waiting_job Job(std::string_view id, unsigned priority, int64_t latest_start_ms, double work_ms) {
  return {.id = id,
          .priority = priority,
          .arrived = kNow,
          .latest_start = kNow + Ms(latest_start_ms),
          .last_start = kNow + Ms(latest_start_ms + 1000),
          .work = work_ms * kWorkPerMs,
          .queue_work = work_ms * kWorkPerMs};
}

std::vector<job_decision> Decide(const std::vector<waiting_job>& jobs,
                                 overload_options options = {},
                                 overload_capacity capacity = {.total = kOneCore,
                                                               .spare = kOneCore}) {
  options.max_wait_fraction = 1;
  return MakeOverloadPolicy(options)(jobs, capacity, kNow);
}

/// @return ids of the jobs with this verdict, in placement order
std::string IdsOf(const std::vector<waiting_job>& jobs, const std::vector<job_decision>& decisions,
                  service_class verdict) {
  std::string ids;
  for (const job_decision& decision : decisions) {
    if (decision.verdict == verdict) {
      ids += jobs[decision.index].id;
    }
  }
  return ids;
}

struct verdict_ids {
  std::string in_time;
  std::string delayed;
  std::string refused;
};

verdict_ids DecideIds(const std::vector<waiting_job>& jobs, const overload_options& options = {},
                      const overload_capacity& capacity = {.total = kOneCore, .spare = kOneCore}) {
  std::vector<job_decision> decisions = Decide(jobs, options, capacity);
  return {.in_time = IdsOf(jobs, decisions, service_class::kInTime),
          .delayed = IdsOf(jobs, decisions, service_class::kDelayed),
          .refused = IdsOf(jobs, decisions, service_class::kRefused)};
}

/// Random jobs in overload, many with equal latest starts; some are late already, have begun or
/// were accepted.
struct random_jobs {
  std::vector<std::string> ids;
  std::vector<waiting_job> jobs;
  overload_capacity capacity;
};

random_jobs RandomJobs() {
  random_jobs made;
  auto count = *rc::gen::inRange<size_t>(0, 40);
  for (size_t number = 0; number < count; ++number) {
    made.ids.push_back("job-" + std::to_string(number));
  }
  for (const std::string& id : made.ids) {
    waiting_job job = Job(id, *rc::gen::inRange(0U, 4U), int64_t{25} * *rc::gen::inRange(-2, 16),
                          *rc::gen::inRange(0, 60));
    job.arrived = kNow - Ms(*rc::gen::inRange(0, 2));
    job.last_start = job.latest_start + Ms(*rc::gen::inRange(0, 600));
    job.queue_work = *rc::gen::inRange(0, 2) * kWorkPerMs;
    job.queue_served = *rc::gen::inRange(0, 3) / 2.0;
    job.begun = *rc::gen::inRange(0, 6) == 0;
    job.accepted = job.begun || *rc::gen::inRange(0, 2) == 0;
    made.jobs.push_back(job);
  }
  made.capacity.total = *rc::gen::inRange(0, 4) * kOneCore;
  made.capacity.spare = made.capacity.total * *rc::gen::inRange(1, 5) / 4;
  return made;
}

bool GoesBefore(const waiting_job& one, const waiting_job& other) {
  return std::tuple(one.latest_start, one.priority, one.id) <
         std::tuple(other.latest_start, other.priority, other.id);
}

}  // namespace

TEST_GROUP(OverloadPolicy){};

TEST(OverloadPolicy, JobsThatFitAreOrderedByLatestStart) {
  verdict_ids found = DecideIds({Job("a", 2, 300, 10), Job("b", 0, 200, 10), Job("c", 1, 100, 10)});
  STRCMP_EQUAL("cba", found.in_time.c_str());
}

TEST(OverloadPolicy, EqualLatestStartsAreOrderedByPriority) {
  verdict_ids found = DecideIds({Job("a", 2, 100, 10), Job("b", 1, 100, 10), Job("c", 0, 100, 10)});
  STRCMP_EQUAL("cba", found.in_time.c_str());
}

// A job of low priority that is due earlier must not make one of high priority late.
TEST(OverloadPolicy, TheLowestPriorityGivesWayFirst) {
  verdict_ids found = DecideIds({Job("a", 1, 50, 40), Job("b", 2, 60, 40), Job("c", 0, 70, 40)});
  STRCMP_EQUAL("ac", found.in_time.c_str());
  STRCMP_EQUAL("b", found.delayed.c_str());
}

TEST(OverloadPolicy, WithinAPriorityTheQueueWithTheLargestJobsGivesWay) {
  std::vector<waiting_job> jobs = {Job("a", 1, 50, 40), Job("b", 1, 60, 40), Job("c", 0, 70, 40)};
  jobs[0].queue_work = 50 * kWorkPerMs;
  STRCMP_EQUAL("a", DecideIds(jobs).delayed.c_str());
}

// The large jobs of a queue would starve if their own work decided.
TEST(OverloadPolicy, AJobsOwnWorkDoesNotDecideWhichOfItsQueueGivesWay) {
  std::vector<waiting_job> jobs = {Job("a", 1, 50, 45), Job("b", 1, 60, 35), Job("c", 0, 70, 40)};
  jobs[0].queue_work = jobs[1].queue_work = 40 * kWorkPerMs;
  jobs[0].arrived = kNow - Ms(5);
  STRCMP_EQUAL("b", DecideIds(jobs).delayed.c_str());
}

TEST(OverloadPolicy, AmongEqualsTheLastToArriveGivesWay) {
  std::vector<waiting_job> jobs = {Job("a", 1, 50, 40), Job("b", 1, 60, 40), Job("c", 0, 70, 40)};
  jobs[1].arrived = kNow - Ms(5);
  STRCMP_EQUAL("a", DecideIds(jobs).delayed.c_str());
}

// A job of the highest priority that fits beside its equals is never delayed for lower ones, not
// even for those that have lost most.
TEST(OverloadPolicy, TheHighestPriorityNeverGivesWayToLowerOnes) {
  std::vector<waiting_job> jobs = {Job("a", 2, 10, 40), Job("b", 1, 20, 40), Job("c", 0, 30, 40)};
  jobs[0].queue_served = jobs[1].queue_served = 0;
  verdict_ids found = DecideIds(jobs);
  STRCMP_EQUAL("c", found.in_time.c_str());
  CHECK(rc::check([] {
    random_jobs random = RandomJobs();
    std::vector<job_decision> decisions = Decide(random.jobs, {}, random.capacity);
    unsigned highest =
        std::ranges::min(random.jobs.empty() ? std::vector{waiting_job{}} : random.jobs, {},
                         &waiting_job::priority)
            .priority;
    for (const job_decision& gave_way : decisions) {
      const waiting_job& job = random.jobs[gave_way.index];
      if (gave_way.verdict == service_class::kInTime || job.priority != highest ||
          job.latest_start < kNow) {
        continue;
      }
      for (const job_decision& kept : decisions) {
        const waiting_job& other = random.jobs[kept.index];
        RC_ASSERT(kept.verdict != service_class::kInTime || other.begun ||
                  other.priority == highest || GoesBefore(job, other));
      }
    }
  }));
}

// The queue that has lost more than its priority allows is passed over: none starves.
TEST(OverloadPolicy, LossesAreSpreadOverTheLowerPriorities) {
  std::vector<waiting_job> jobs = {Job("a", 1, 50, 40), Job("b", 2, 60, 40), Job("c", 0, 70, 40)};
  jobs[0].queue_served = 0.9;  // 0.1 lost, halved for one level
  jobs[1].queue_served = 0.7;  // 0.3 lost, quartered for two levels
  STRCMP_EQUAL("a", DecideIds(jobs).delayed.c_str());
  jobs[1].queue_served = 0.9;
  STRCMP_EQUAL("b", DecideIds(jobs).delayed.c_str());
}

// To delay a job that still gets a useful answer afterwards costs its caller least.
TEST(OverloadPolicy, JobsThatStayUsefulGiveWayFirst) {
  std::vector<waiting_job> jobs = {Job("a", 1, 50, 40), Job("b", 2, 60, 40), Job("c", 0, 70, 40)};
  jobs[1].last_start = kNow + Ms(100);  // before all have started, in 120 ms
  STRCMP_EQUAL("a", DecideIds(jobs).delayed.c_str());
}

TEST(OverloadPolicy, AJobIsDelayedBeforeItIsRefused) {
  std::vector<waiting_job> jobs = {Job("a", 0, 50, 40), Job("b", 0, 30, 40), Job("c", 0, 35, 40)};
  verdict_ids found = DecideIds(jobs);
  STRCMP_EQUAL("", found.refused.c_str());
  CHECK_EQUAL(1, found.delayed.size());
  for (waiting_job& job : jobs) {
    job.last_start = job.latest_start;
  }
  found = DecideIds(jobs);
  CHECK_EQUAL(1, found.refused.size());
  STRCMP_EQUAL("", found.delayed.c_str());
}

// Accepted callers hold on to what they were promised while the total capacity suffices; the spare
// part decides about new ones only.
TEST(OverloadPolicy, AcceptedJobsAreRefusedOnlyWhenTheTotalCapacityDoesNotSuffice) {
  std::vector<waiting_job> jobs = {Job("a", 1, -10, 40), Job("b", 1, -10, 40)};
  jobs[0].last_start = jobs[1].last_start = kNow + Ms(100);
  const overload_capacity little_spare{.total = kOneCore, .spare = 0.25 * kOneCore};
  STRCMP_EQUAL("b", DecideIds(jobs, {}, little_spare).refused.c_str());  // after 160 ms
  jobs[1].accepted = true;
  STRCMP_EQUAL("ab", DecideIds(jobs, {}, little_spare).delayed.c_str());  // after 40 ms
  jobs[1].last_start = kNow + Ms(39);
  jobs[0].last_start = kNow + Ms(38);
  STRCMP_EQUAL("b", DecideIds(jobs, {}, little_spare).refused.c_str());
}

TEST(OverloadPolicy, BegunJobsAreNeverDelayedOrRefused) {
  CHECK(rc::check([] {
    random_jobs random = RandomJobs();
    for (const job_decision& decision : Decide(random.jobs, {}, random.capacity)) {
      RC_ASSERT(!random.jobs[decision.index].begun || decision.verdict == service_class::kInTime);
    }
  }));
}

TEST(OverloadPolicy, TheNumberOfDelayedJobsIsBounded) {
  std::vector<waiting_job> jobs;
  for (const char* id : {"a", "b", "c", "d", "e"}) {
    jobs.push_back(Job(id, 1, -10, 1));
  }
  verdict_ids found = DecideIds(jobs, {.max_delayed_jobs = 2});
  STRCMP_EQUAL("ab", found.delayed.c_str());
  STRCMP_EQUAL("cde", found.refused.c_str());
}

// Bounds the work of delayed jobs: none waits longer than its answer is useful.
TEST(OverloadPolicy, DelayedJobsAreExpectedToStartInTimeForTheirCallers) {
  CHECK(rc::check([] {
    random_jobs random = RandomJobs();
    for (const job_decision& decision : Decide(random.jobs, {}, random.capacity)) {
      RC_ASSERT(decision.verdict != service_class::kDelayed ||
                kNow + decision.expected_wait <= random.jobs[decision.index].last_start);
    }
  }));
}

TEST(OverloadPolicy, JobsInTimeArePlacedBeforeDelayedOnes) {
  CHECK(rc::check([] {
    random_jobs random = RandomJobs();
    std::vector<job_decision> decisions = Decide(random.jobs, {}, random.capacity);
    RC_ASSERT(std::ranges::is_partitioned(decisions, [](const job_decision& decision) {
      return decision.verdict == service_class::kInTime;
    }));
  }));
}

TEST(OverloadPolicy, EveryJobGetsOneDecision) {
  CHECK(rc::check([] {
    random_jobs random = RandomJobs();
    std::vector<size_t> indexes;
    for (const job_decision& decision : Decide(random.jobs, {}, random.capacity)) {
      indexes.push_back(decision.index);
    }
    std::ranges::sort(indexes);
    RC_ASSERT(indexes.size() == random.jobs.size());
    for (size_t number = 0; number < indexes.size(); ++number) {
      RC_ASSERT(indexes[number] == number);
    }
  }));
}

// The scheduler keeps its jobs in a hash table: their order there must not decide anything.
TEST(OverloadPolicy, TheOrderOfTheInputDoesNotMatter) {
  CHECK(rc::check([] {
    random_jobs random = RandomJobs();
    std::vector<waiting_job> shuffled = random.jobs;
    std::mt19937_64 generator(*rc::gen::arbitrary<uint64_t>());
    std::ranges::shuffle(shuffled, generator);
    std::vector<job_decision> first = Decide(random.jobs, {}, random.capacity);
    std::vector<job_decision> second = Decide(shuffled, {}, random.capacity);
    RC_ASSERT(first.size() == second.size());
    for (size_t number = 0; number < first.size(); ++number) {
      RC_ASSERT(random.jobs[first[number].index].id == shuffled[second[number].index].id);
      RC_ASSERT(first[number].verdict == second[number].verdict);
      RC_ASSERT(first[number].expected_wait == second[number].expected_wait);
    }
  }));
}

// Without load above the capacity, the policy only orders.
TEST(OverloadPolicy, NothingGivesWayWhileEveryWaitIsWithinItsSlack) {
  std::vector<waiting_job> jobs;
  for (const char* id : {"a", "b", "c", "d"}) {
    jobs.push_back(Job(id, static_cast<unsigned>(jobs.size() % 3), 100, 30));
  }
  CHECK_EQUAL(4, DecideIds(jobs).in_time.size());
}

}  // namespace wagtail::leased
