#include <array>
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
constexpr size_t kMegabyte = 1024 * kKilobyte;
/// The largest that a configuration may allow.
constexpr size_t kMaxBodyBytes = 4 * kMegabyte;
/// Empty containers of this size take nearly a third of the memory of the process once decoded.
constexpr size_t kLargestTreeTextOfEntry = kMegabyte;
constexpr size_t kLargestTreeTextOfAgent = 800 * kKilobyte;
constexpr size_t kSmallBodyBytes = 16 * kKilobyte;
/// Small requests that each client sends on one connection.
constexpr size_t kSmallRequests = 20;
/// With so many descriptors, memory decides how many connections a process accepts.
constexpr size_t kManyDescriptors = 4100;
constexpr process_limits kEntryLimits{.memory_mb = 160, .max_fds = kManyDescriptors};
constexpr process_limits kAgentLimits{.memory_mb = 128, .max_fds = kManyDescriptors};
/// Of each crowd.
constexpr size_t kClients = 180;

crowd_script WholeBodies(const std::string& path, size_t text_bytes, size_t requests) {
  return {.piece = Request(path, EmptyContainers(text_bytes)), .pieces = requests};
}

}  // namespace

TEST_GROUP(UntrustedLargeBodies) {
  small_cluster cluster{
      {.entry = kEntryLimits, .agent = kAgentLimits, .max_body_bytes = kMaxBodyBytes}};

  void setup() override { CHECK_TRUE(cluster.WaitUntilServing()); }
};

// Guards against limits that hold one by one, but not together, where bodies may be of 4 MiB.
TEST(UntrustedLargeBodies, JobsAndBodiesAtAnEntry) {
  std::string path = absl::StrCat(kSoakPath, "00000000deadbeef");
  std::array scripts = {JobsThatWait(StepsThatWait(kMaxTasks - 1)),
                        WholeBodies(path, kSmallBodyBytes, kSmallRequests),
                        WholeBodies(path, kLargestTreeTextOfEntry, 2),
                        UnfinishedBody(path, kMaxBodyBytes)};
  CheckUnderCrowds(AttackedEntry(cluster, kEntryLimits), kClients, scripts);
}

TEST(UntrustedLargeBodies, HeartbeatsAtAnAgent) {
  std::string path = "/-/Instances.Heartbeat/crowd";
  std::array scripts = {WholeBodies(path, kSmallBodyBytes, kSmallRequests),
                        WholeBodies(path, kLargestTreeTextOfAgent, 2),
                        UnfinishedBody(path, kMaxBodyBytes)};
  CheckUnderCrowds(AttackedAgent(cluster, kAgentLimits), kClients, scripts);
}

}  // namespace wagtail::leased
