#include "platform/http_limits.h"

#include <string>
#include <vector>

#include "base/memory_budget.h"
#include "platform/http_limit_log.h"
#include "scheduler/job_scheduler.h"

// Included last: its macros must not affect other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::platform {
namespace {

constexpr size_t kManyFds = 100'000;
constexpr size_t kMiB = 1 << 20;

}  // namespace

TEST_GROUP(HttpLimits){};

// An entry of 160 MB accepted 1,500 connections with 4 MiB each.
TEST(HttpLimits, TheSmallestEntryKeepsItsMemoryAndServesOrdinaryCallers) {
  http_limits limits = DeriveHttpLimits({.memory_mb = 160}, kManyFds);
  CHECK(limits.max_connections >= 300);
  constexpr size_t kBytesPerConnection = 128 << 10;
  // A handler holds its body and the text of the job in it.
  size_t total = limits.max_connections * kBytesPerConnection + 2 * limits.request_memory_bytes +
                 limits.max_tree_bytes;
  CHECK(total <= 130 * kMiB);
}

// A heartbeat of 4 MiB is within the limits, also as a chunked body, whose buffer is copied once.
TEST(HttpLimits, TheLargestBodyFitsIntoTheBudgetOfAnAgent) {
  http_limits limits = DeriveHttpLimits({.memory_mb = 128}, kManyFds);
  CHECK(limits.request_memory_bytes - limits.small_reserve_bytes >= 6 * kMiB);
}

// The largest legal job has 10,000 tasks, each in a step of its own.
TEST(HttpLimits, TheLargestJobFitsIntoTheBudgetOfTheSmallestEntry) {
  constexpr size_t kMaxTasksPerJob = 10'000;
  std::vector<leased::job_step> steps(kMaxTasksPerJob, {.count = 1});
  size_t job = leased::job_scheduler::MemoryBytes(steps, 0);
  http_limits limits = DeriveHttpLimits({.memory_mb = 160}, kManyFds);
  CHECK(limits.job_memory_bytes - limits.small_job_reserve_bytes >= 2 * job);
}

// Ordinary jobs have up to 8 tasks and a text of up to 4,000 bytes, and a caller sends one at a
// time.
TEST(HttpLimits, AnOrdinaryJobOnEveryConnectionFitsIntoTheBudgetForJobs) {
  constexpr size_t kTextBytes = 4000;
  std::vector<leased::job_step> steps(1, {.count = 8});
  size_t job = leased::job_scheduler::MemoryBytes(steps, kTextBytes);
  CHECK(job < kSmallReservationBytes);
  for (size_t memory_mb : {64, 96, 128, 160, 260, 512, 4096}) {
    http_limits limits = DeriveHttpLimits({.memory_mb = memory_mb}, kManyFds);
    CHECK(limits.max_connections * job <= limits.job_memory_bytes);
  }
}

TEST(HttpLimits, ConnectionsLeaveDescriptorsForTheRest) {
  CHECK_EQUAL(288, DeriveHttpLimits({.memory_mb = 4096}, 1024).max_connections);
  CHECK_EQUAL(64, DeriveHttpLimits({.memory_mb = 4096}, 256).max_connections);
}

TEST(HttpLimits, StatedValuesAreUsed) {
  node_settings settings{.memory_mb = 160};
  settings.http = {.max_connections = 10,
                   .max_request_memory_bytes = 1 << 20,
                   .max_job_memory_bytes = 3 << 20,
                   .header_timeout = std::chrono::seconds(1),
                   .body_timeout = std::chrono::seconds(2),
                   .idle_timeout = std::chrono::seconds(3),
                   .handler_grace = std::chrono::seconds(4)};
  http_limits limits = DeriveHttpLimits(settings, kManyFds);
  CHECK_EQUAL(10, limits.max_connections);
  CHECK_EQUAL(10, limits.max_side_connections);
  CHECK_EQUAL(1 << 20, limits.request_memory_bytes);
  CHECK_EQUAL(10 * kSmallReservationBytes, limits.small_reserve_bytes);
  CHECK_EQUAL(3 << 20, limits.job_memory_bytes);
  CHECK_EQUAL(10 * kSmallReservationBytes, limits.small_job_reserve_bytes);
  CHECK(limits.header_timeout == std::chrono::seconds(1));
  CHECK(limits.body_timeout == std::chrono::seconds(2));
  CHECK(limits.idle_timeout == std::chrono::seconds(3));
  CHECK(limits.handler_grace == std::chrono::seconds(4));
}

// A line for each refused request would cost more than the request.
TEST(HttpLimits, LimitsAreLoggedOnceASecondWithCounts) {
  std::vector<std::string> lines;
  http_limit_log log("front", [&lines](std::string_view server, std::string_view reasons) {
    lines.push_back(std::string(server) + " " + std::string(reasons));
  });
  instant start{};
  log.Note("no_memory", start);
  log.Note("no_memory", start + std::chrono::milliseconds(400));
  log.Note("body_time", start + std::chrono::milliseconds(999));
  CHECK_EQUAL(1, lines.size());
  log.Note("no_memory", start + std::chrono::milliseconds(1000));
  CHECK_EQUAL(2, lines.size());
  STRCMP_EQUAL("front no_memory=1", lines[0].c_str());
  STRCMP_EQUAL("front body_time=1 no_memory=2", lines[1].c_str());
}

}  // namespace wagtail::platform
