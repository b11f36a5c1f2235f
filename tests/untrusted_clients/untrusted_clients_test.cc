#include <string>

#include "absl/strings/str_cat.h"
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
/// Legal size of a heartbeat: an agent reads up to 4 MiB.
constexpr size_t kLargeHeartbeatBytes = 1024 * kKilobyte;
constexpr size_t kMaxHeartbeatBytes = 4096 * kKilobyte;
constexpr process_limits kEntryLimits{.memory_mb = 96, .max_fds = 300};
constexpr process_limits kAgentLimits{.memory_mb = 64, .max_fds = 300};
/// The crowd's legal bodies together are larger than the memory of the entry.
constexpr size_t kClients = 400;
/// Clients that send more than a legal body each.
constexpr size_t kOversizeClients = 60;
constexpr size_t kAgentClients = 100;
constexpr const char* kCrowdPath = "/on/00000000deadbeef";
constexpr const char* kHeartbeatPath = "/-/Instances.Heartbeat/crowd";

std::string Chunk(size_t size) {
  return absl::StrCat(absl::Hex(size), "\r\n", std::string(size, ' '), "\r\n");
}

/// @param fields members of a JSON object
/// @return an object with these members and an array of numbers, whose decoded form is several
/// times
///   its text
std::string PaddedWithNumbers(const std::string& fields, size_t size) {
  std::string body = absl::StrCat("{", fields, R"("padding":[0)");
  while (body.size() + 4 <= size) {
    body += ",0";
  }
  body += "]}";
  body.append(size - body.size(), ' ');
  return body;
}

/// @return a body in chunks that stops a byte short of the end of its last chunk of data
crowd_script UnfinishedChunks(const std::string& path, size_t size, size_t chunk) {
  constexpr size_t kPieceBytes = 4096;
  constexpr size_t kLineEndBytes = 2;
  size_t chunks_per_piece = chunk < kPieceBytes ? kPieceBytes / chunk : 1;
  std::string piece;
  for (size_t number = 0; number < chunks_per_piece; ++number) {
    piece += Chunk(chunk);
  }
  return {.head = HeadOfChunks(path),
          .piece = piece,
          .pieces = size / (chunk * chunks_per_piece) - 1,
          .tail = piece.substr(0, piece.size() - kLineEndBytes - 1)};
}

}  // namespace

TEST_GROUP(UntrustedClients) {
  small_cluster cluster{
      {.entry = kEntryLimits, .agent = kAgentLimits, .max_body_bytes = kMaxBodyBytes}};
  attacked_process entry = AttackedEntry(cluster, kEntryLimits);
  attacked_process agent = AttackedAgent(cluster, kAgentLimits);

  void setup() override { CHECK_TRUE(cluster.WaitUntilServing()); }
};

// Guards against reading and decoding any number of whole bodies at once.
TEST(UntrustedClients, ManyWholeBodiesAtOnce) {
  std::string body = PaddedWithNumbers("", kMaxBodyBytes);
  CheckUnder(entry, kClients,
             {.piece = HeadWithLength(kCrowdPath, body.size()) + body, .pieces = 2});
}

// Guards against buffering any number of bodies that never end.
TEST(UntrustedClients, ManyBodiesShortOfTheirEnd) {
  CheckUnder(entry, kClients, UnfinishedBody(kCrowdPath, kMaxBodyBytes));
}

// Guards against buffering bodies of unknown length outside of any limit on all of them.
TEST(UntrustedClients, ManyBodiesInLargeChunksShortOfTheirEnd) {
  CheckUnder(entry, kClients, UnfinishedChunks(kCrowdPath, kMaxBodyBytes, 32 * kKilobyte));
}

// Guards against memory per chunk, and against counting chunks only when they are large.
TEST(UntrustedClients, ManyBodiesInSmallChunksShortOfTheirEnd) {
  CheckUnder(entry, kClients, UnfinishedChunks(kCrowdPath, kMaxBodyBytes, 16));
}

// Guards against reading a body although its announced length is over the limit.
TEST(UntrustedClients, BodiesOverTheLimitAnnounced) {
  CheckUnder(entry, kOversizeClients,
             {.head = HeadWithLength(kCrowdPath, 1 << 30),
              .piece = std::string(kMaxBodyBytes, ' '),
              .pieces = 20});
}

// Guards against checking the size of a body without announced length only at its end.
TEST(UntrustedClients, BodiesOverTheLimitInEndlessChunks) {
  CheckUnder(entry, kOversizeClients,
             {.head = HeadOfChunks(kCrowdPath), .piece = Chunk(32 * kKilobyte), .pieces = 160});
}

// Guards against any number of connections, each with a thread, that never send a whole request.
TEST(UntrustedClients, ManyPartsOfAHeader) {
  CheckUnder(entry, kClients,
             {.head = absl::StrCat("POST ", kCrowdPath, " HTTP/1.1\r\nHost: ", kSoakHost,
                                   "\r\nX-Padding: ", std::string(4 * kKilobyte, 'x'))});
}

// Guards against an agent without a limit on the heartbeats that it reads at once.
TEST(UntrustedClients, ManyHeartbeatsShortOfTheirEnd) {
  CheckUnder(agent, kAgentClients, UnfinishedBody(kHeartbeatPath, kLargeHeartbeatBytes));
}

// Guards against an agent that limits only heartbeats of announced length.
TEST(UntrustedClients, ManyHeartbeatsInChunksShortOfTheirEnd) {
  CheckUnder(agent, kAgentClients,
             UnfinishedChunks(kHeartbeatPath, kLargeHeartbeatBytes, 32 * kKilobyte));
}

// Guards against limits that refuse a single legal request of the largest size to an idle entry.
TEST(UntrustedClients, LargestJobIsServedByAnIdleEntry) {
  std::string body = PaddedWithNumbers(
      R"("best_effort":true,"job_spec":"on","steps":[{"count":1,"cpu":6000,"estimate_ms":150}],)",
      kMaxBodyBytes);
  CHECK_EQUAL(kMaxBodyBytes, body.size());
  entry.request = [&] {
    return IsAnsweredOk(entry.address, HeadWithLength("/on/f0000000deadbeef", body.size()) + body);
  };
  CheckUnder(entry, 0, {});
}

// Guards against limits that refuse a single legal heartbeat of the largest size to an idle agent.
TEST(UntrustedClients, LargestHeartbeatIsServedByAnIdleAgent) {
  agent.request = [&] {
    soak_target::message heartbeat = cluster.target().Heartbeat();
    heartbeat.body.append(kMaxHeartbeatBytes - heartbeat.body.size(), ' ');
    return IsAnsweredOk(agent.address,
                        HeadWithLength(heartbeat.path, heartbeat.body.size()) + heartbeat.body);
  };
  CheckUnder(agent, 0, {});
}

}  // namespace wagtail::leased
