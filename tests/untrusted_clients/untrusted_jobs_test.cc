#include <array>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "tests/fault_soak/soak_caller.h"
#include "tests/untrusted_clients/attacked_process.h"
#include "tests/untrusted_clients/client_crowd.h"
#include "tests/untrusted_clients/crowd_requests.h"
#include "tests/untrusted_clients/small_cluster.h"
// Included last: CppUTest's macros must not affect the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr size_t kKilobyte = 1024;
constexpr size_t kMaxBodyBytes = 256 * kKilobyte;
/// With so many descriptors, memory decides how many connections a process accepts.
constexpr size_t kManyDescriptors = 4100;
constexpr process_limits kEntryLimits{.memory_mb = 96, .max_fds = kManyDescriptors};
constexpr process_limits kAgentLimits{.memory_mb = 64, .max_fds = kManyDescriptors};
constexpr size_t kClients = 400;
/// Bodies of up to 16 KiB are small: a part of the memory for bodies is reserved for them.
constexpr size_t kSmallBodyBytes = 16 * kKilobyte;
/// Small requests that each client sends on one connection.
constexpr size_t kSmallRequests = 20;
/// Limit on the tasks of a job.
constexpr size_t kMaxTasks = 10'000;
constexpr const char* kHeartbeatPath = "/-/Instances.Heartbeat/crowd";

/// Jobs with ids from here on run for the normal time at the fake target.
constexpr size_t kFirstShortId = 0x2000'0000'0000'0000;

/// @param steps comma-separated objects, the steps of the job
/// @param deadline_ms how long the caller waits
/// @return the request that submits a job
std::string JobWithDeadline(size_t id, const std::string& steps, int64_t deadline_ms) {
  std::string body = absl::StrCat(R"({"best_effort":true,"job_spec":"on","steps":[)", steps, "]}");
  std::string path = kSoakPath + absl::StrFormat("%016x", id);
  return Head(path,
              absl::StrCat("Deadline-Ms: ", deadline_ms, "\r\nContent-Length: ", body.size())) +
         body;
}

/// @param steps of each job, whose caller waits for a day
/// @param first_id tasks run for seconds at the fake target if it is below kFirstShortId
crowd_script JobsThatWait(const std::string& steps, size_t first_id = kFirstShortId) {
  constexpr int64_t kDayMs = 86'400'000;
  return {.head_of = [=](size_t connection) {
    return JobWithDeadline(first_id + connection, steps, kDayMs);
  }};
}

/// First step of a job that is admitted whatever else waits: its task can start at once.
constexpr const char* kFirstStep = R"({"count":1,"cpu":1,"estimate_ms":86400000})";

/// @return a first step, and one whose tasks wait for room
std::string StepsThatWait(size_t tasks) {
  return absl::StrCat(kFirstStep, R"(,{"count":)", tasks,
                      R"(,"cpu":6000,"estimate_ms":86400000,"after":[0]})");
}

/// @return a step whose tasks all fit into the target at once
std::string StepOfTinyTasks() {
  return absl::StrCat(R"({"count":)", kMaxTasks, R"(,"cpu":1,"estimate_ms":86400000})");
}

/// @return steps that each need the whole target, all after the first one
std::string StepsOfOneTask(size_t count) {
  std::string steps = kFirstStep;
  for (size_t number = 1; number < count; ++number) {
    steps += R"(,{"count":1,"cpu":36000,"after":[0]})";
  }
  return steps;
}

/// @return a JSON text of almost `size` bytes, whose decoded form is many times as large
std::string EmptyContainers(size_t size) {
  std::string text = "[[]";
  while (text.size() + 4 < size) {
    text += ",[]";
  }
  return text + "]";
}

}  // namespace

TEST_GROUP(UntrustedJobs) {
  small_cluster cluster{
      {.entry = kEntryLimits, .agent = kAgentLimits, .max_body_bytes = kMaxBodyBytes}};
  attacked_process entry = AttackedEntry(cluster, kEntryLimits);
  attacked_process agent = AttackedAgent(cluster, kAgentLimits);

  void setup() override { CHECK_TRUE(cluster.WaitUntilServing()); }
};

// Guards against admitting any number of tasks: a short text may describe ten thousand.
TEST(UntrustedJobs, JobsOfThousandsOfTasksAfterAFirstOne) {
  CheckUnder(entry, kClients, JobsThatWait(StepsThatWait(kMaxTasks - 1)));
}

// Guards against jobs that leave room for small ones only until their callers' deadline.
TEST(UntrustedJobs, LargeJobsThatWaitLeaveRoomForOtherLargeOnes) {
  entry.request = [this, id = kFirstShortId]() mutable {
    return IsAnsweredOk(entry.address,
                        JobWithDeadline(++id, R"({"count":500,"cpu":1,"estimate_ms":20})", 4000));
  };
  std::string steps = absl::StrCat(kFirstStep, R"(,{"count":499,"cpu":19000,"after":[0]})");
  CheckUnder(entry, kClients, JobsThatWait(steps, 0));
}

// Guards against any number of tasks that may all start at once.
TEST(UntrustedJobs, JobsOfOneStepOfThousandsOfTasks) {
  CheckUnder(entry, kClients, JobsThatWait(StepOfTinyTasks()));
}

// Guards against counting tasks only: a step takes more memory than a task.
TEST(UntrustedJobs, JobsOfThousandsOfSteps) {
  constexpr size_t kSteps = 7000;
  std::string steps = StepsOfOneTask(kSteps);
  CHECK(steps.size() < kMaxBodyBytes);
  CheckUnder(entry, kClients, JobsThatWait(steps));
}

// Guards against an entry that orders any number of tasks from an agent at once.
TEST(UntrustedJobs, JobsOfThousandsOfTinyTasksAtAnAgent) {
  agent.address = cluster.front();
  CheckUnder(agent, kClients, JobsThatWait(StepOfTinyTasks()));
}

// Guards against jobs that hold all connections until their callers' deadline.
TEST(UntrustedJobs, JobsThatWaitOnEveryConnection) {
  // Few enough tasks for a small job, which run one after the other and leave room for others.
  std::string steps = absl::StrCat(kFirstStep, R"(,{"count":80,"cpu":19000,"after":[0]})");
  CheckUnder(entry, kClients, JobsThatWait(steps, 0));
}

// Guards against decoding any number of small texts at once.
TEST(UntrustedJobs, ManySmallBodiesOfEmptyContainers) {
  std::string body = EmptyContainers(kSmallBodyBytes);
  CheckUnder(entry, kClients,
             {.piece = Request(absl::StrCat(kSoakPath, "00000000deadbeef"), body),
              .pieces = kSmallRequests});
}

TEST(UntrustedJobs, ManySmallHeartbeatsOfEmptyContainers) {
  std::string body = EmptyContainers(kSmallBodyBytes);
  CheckUnder(agent, kClients, {.piece = Request(kHeartbeatPath, body), .pieces = kSmallRequests});
}

// Guards against holding more unread bytes than memory is left while jobs wait.
TEST(UntrustedJobs, ManyRequestsBehindAJobThatWaits) {
  constexpr size_t kWaitingTasks = 100;
  crowd_script script = JobsThatWait(StepsThatWait(kWaitingTasks));
  script.piece = Request(absl::StrCat(kSoakPath, "00000000deadbeef"), "{}");
  script.pieces = 2 * kMaxBodyBytes / script.piece.size();
  CheckUnder(entry, kClients, script);
}

// Guards against limits that hold one by one, but not together.
TEST(UntrustedJobs, LargeJobsAndBodiesAtOnce) {
  std::string path = absl::StrCat(kSoakPath, "00000000deadbeef");
  crowd_script jobs = JobsThatWait(StepsThatWait(kMaxTasks - 1));
  jobs.piece = Request(path, "{}");
  jobs.pieces = 2 * kMaxBodyBytes / jobs.piece.size();
  crowd_script small = {.piece = Request(path, EmptyContainers(kSmallBodyBytes)),
                        .pieces = kSmallRequests};
  crowd_script large = {.piece = Request(path, EmptyContainers(kMaxBodyBytes)), .pieces = 2};
  std::array scripts = {jobs, small, large, UnfinishedBody(path, kMaxBodyBytes)};
  CheckUnderCrowds(entry, kClients / scripts.size(), scripts);
}

// Guards against limits that hold only because descriptors run out before memory does.
TEST(UntrustedJobs, ManyBodiesShortOfTheirEnd) {
  CheckUnder(entry, kClients,
             UnfinishedBody(absl::StrCat(kSoakPath, "00000000deadbeef"), kMaxBodyBytes));
}

TEST(UntrustedJobs, ManyHeartbeatsShortOfTheirEnd) {
  CheckUnder(agent, kClients, UnfinishedBody(kHeartbeatPath, kMaxBodyBytes));
}

}  // namespace wagtail::leased
