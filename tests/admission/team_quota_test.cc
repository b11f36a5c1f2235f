#include "admission/team_quota.h"

#include <rapidcheck.h>

#include <barrier>
#include <thread>
#include <vector>

#include "admission/admission_error.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

constexpr instant kStart{std::chrono::hours(1)};

}  // namespace

TEST_GROUP(TeamQuota){};

TEST(TeamQuota, RefusesWholeJobsWithAReason) {
  struct refusal_case {
    uint32_t admitted_before;
    uint32_t tasks;
    admission_error error;
  };
  const std::vector<refusal_case> cases = {
      {0, 21, admission_error::kJobTooLarge},
      {8, 13, admission_error::kStartsExceeded},
      {10, 16, admission_error::kTasksInFlight},
  };
  for (const refusal_case& each : cases) {
    team_quota quota({.starts_per_second = 10, .burst_tasks = 20, .max_tasks_in_flight = 25});
    if (each.admitted_before > 0) {
      CHECK(quota.TryAdmit(each.admitted_before, kStart).ok());
    }
    const absl::Status refused = quota.TryAdmit(each.tasks, kStart);
    CHECK(ErrorOf<admission_error>(refused) == each.error);
    LONGS_EQUAL(each.admitted_before, quota.tasks_in_flight());
    const bool can_come_back = each.error != admission_error::kJobTooLarge;
    CHECK(RetryAfterOf(refused).has_value() == can_come_back);
  }
}

TEST(TeamQuota, AdmitsAfterTheRetryAfterTime) {
  CHECK(rc::check([] {
    team_quota quota({.starts_per_second = 7, .burst_tasks = 50, .max_tasks_in_flight = 1000000});
    instant now = kStart;
    const auto jobs = *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(1, 51));
    for (const uint32_t tasks : jobs) {
      const absl::Status first = quota.TryAdmit(tasks, now);
      if (first.ok()) {
        continue;
      }
      now += *RetryAfterOf(first);
      RC_ASSERT(quota.TryAdmit(tasks, now).ok());
    }
  }));
}

TEST(TeamQuota, RevokedJobCostsNothing) {
  team_quota quota({.starts_per_second = 1, .burst_tasks = 10, .max_tasks_in_flight = 10});
  CHECK(quota.TryAdmit(10, kStart).ok());
  quota.Revoke(10);
  CHECK(quota.TryAdmit(10, kStart).ok());
}

TEST(TeamQuota, ConcurrentThreadsNeitherExceedTheLimitNorLoseATask) {
  constexpr int kThreads = 4;
  constexpr int kJobs = 50000;
  team_quota quota({.starts_per_second = 1, .burst_tasks = 1U << 20, .max_tasks_in_flight = 6});
  std::barrier start(kThreads);
  std::vector<std::jthread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&] {
      start.arrive_and_wait();
      for (int job = 0; job < kJobs; ++job) {
        if (quota.TryAdmit(2, kStart).ok()) {
          quota.Release(2);
        }
      }
    });
  }
  threads.clear();
  LONGS_EQUAL(0, quota.tasks_in_flight());
  CHECK(quota.TryAdmit(6, kStart + std::chrono::hours(200)).ok());
}

TEST(TeamQuota, NewLimitsReplaceTheQuota) {
  team_quotas quotas;
  CHECK(quotas.Find("club") == nullptr);
  quotas.SetLimits("club", {.starts_per_second = 5});
  const auto before = quotas.Find("club");
  quotas.SetLimits("club", {.starts_per_second = 5});
  CHECK(quotas.Find("club") == before);
  quotas.SetLimits("club", {.starts_per_second = 6});
  CHECK(quotas.Find("club") != before);
  quotas.Remove("club");
  CHECK(quotas.Find("club") == nullptr);
}

}  // namespace wagtail
