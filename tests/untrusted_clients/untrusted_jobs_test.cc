#include <array>
#include <functional>
#include <string>

#include "absl/strings/str_cat.h"
#include "tests/fault_soak/soak_caller.h"
#include "tests/untrusted_clients/attacked_process.h"
#include "tests/untrusted_clients/client_crowd.h"
#include "tests/untrusted_clients/crowd_jobs.h"
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
constexpr const char* kHeartbeatPath = "/-/Instances.Heartbeat/crowd";

}  // namespace

TEST_GROUP(UntrustedJobs) {
  small_cluster cluster{
      {.entry = kEntryLimits, .agent = kAgentLimits, .max_body_bytes = kMaxBodyBytes}};
  attacked_process entry = AttackedEntry(cluster, kEntryLimits);
  attacked_process agent = AttackedAgent(cluster, kAgentLimits);

  void setup() override { CHECK_TRUE(cluster.WaitUntilServing()); }

  /// @return request of a large job
  std::function<bool()> OrdinaryJobOfManyTasks() {
    return [this, id = kFirstShortId]() mutable {
      constexpr int64_t kDeadlineMs = 4000;
      std::string steps = R"({"count":500,"cpu":1,"estimate_ms":20})";
      return IsAnsweredOk(entry.address, JobWithDeadline(++id, steps, kDeadlineMs));
    };
  }

  /// @return request of a job whose tasks run for about as long as it estimates
  std::function<bool()> OrdinaryJobOfSomeTasks() {
    return [this, id = kFirstShortId]() mutable {
      constexpr int64_t kDeadlineMs = 2200;
      std::string steps = R"({"count":8,"cpu":700,"estimate_ms":150})";
      return IsAnsweredOk(entry.address, JobWithDeadline(++id, steps, kDeadlineMs));
    };
  }
};

// Guards against admitting any number of tasks: a short text may describe ten thousand.
TEST(UntrustedJobs, JobsOfThousandsOfTasksAfterAFirstOne) {
  CheckUnder(entry, kClients, JobsThatWait(StepsThatWait(kMaxTasks - 1)));
}

// Guards against jobs that leave room for small ones only until their callers' deadline.
TEST(UntrustedJobs, LargeJobsThatWaitLeaveRoomForOtherLargeOnes) {
  entry.request = OrdinaryJobOfManyTasks();
  CheckUnder(entry, kClients, JobsThatWait(FirstStep() + StepOfLongTasks(499), 0));
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
  CheckUnder(entry, kClients, JobsThatWait(FirstStep() + StepOfLongTasks(kTasksOfASmallJob), 0));
}

// Guards against taking a target for stalled because jobs state no estimate.
TEST(UntrustedJobs, JobsWithoutEstimates) {
  entry.request = OrdinaryJobOfSomeTasks();
  CheckUnder(entry, kClients, JobsThatWait(StepsThatLeaveRoom(0), 0));
}

// Guards against the same with estimates that are far too low.
TEST(UntrustedJobs, JobsWithTooLowEstimates) {
  entry.request = OrdinaryJobOfSomeTasks();
  CheckUnder(entry, kClients, JobsThatWait(StepsThatLeaveRoom(1), 0));
}

// Guards against the same with an ordinary job whose many tasks take longer than it estimates.
TEST(UntrustedJobs, LongTasksBesideAJobOfManyTasks) {
  entry.request = OrdinaryJobOfManyTasks();
  CheckUnder(entry, kClients, JobsThatOvertake());
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
