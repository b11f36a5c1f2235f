#include <random>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "tests/process/polling.h"
#include "tests/process/raw_bytes.h"
// Included last: CppUTest's macros would break the library headers.
#include "tests/process/cluster_test_group.h"

namespace wagtail {

namespace {

using json = nlohmann::json;
using namespace std::string_literals;  // NOLINT(google-build-using-namespace): bytes with NULs

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr size_t kMaxTasks = 690;
constexpr size_t kMaxTaskBytes = 64 << 10;
constexpr size_t kMaxBodyBytes = 4 << 20;

std::string JobWith(const json& member, const std::string& name) {
  json job = json::parse(JobOf(1, 20));
  job[name] = member;
  return job.dump();
}

std::string JobWithTask(const json& task) { return json({{"tasks", {task}}}).dump(); }

std::vector<std::string> BadBodies() {
  return {"",
          "{",
          "[]",
          "null",
          "\xff\xfe garbage",
          R"({"tasks": [{"service": "court-control"}], "tasks2": 1})",
          R"({"tasks": "many"})",
          R"({"tasks": []})",
          R"({"tasks": [[]]})",
          JobWith(-5, "deadline_ms"),
          JobWith(0, "deadline_ms"),
          JobWith(1e30, "deadline_ms"),
          JobWith("soon", "deadline_ms"),
          JobWithTask({{"service", kService}, {"priority", 3}}),
          JobWithTask({{"service", ""}}),
          JobWithTask({{"service", -1}}),
          JobWithTask({{"service", std::string(10'000, 'x')}}),
          JobWithTask({{"service", kService}, {"body", std::string(kMaxTaskBytes + 1, 'x')}}),
          JobWithTask({{"body", "no service"}}),
          JobWithTask({{"service", "no-such-service"}}),
          std::string(10'000, '['),
          JobOf(kMaxTasks + 1, 20)};
}

// A frame of Cap'n Proto starts with the number of segments less one and the words of each.
std::vector<std::string> MalformedFrames() {
  std::mt19937 random(20261204);
  std::string noise(100'000, '\0');
  for (char& byte : noise) {
    byte = static_cast<char>(random());
  }
  return {"GET / HTTP/1.1\r\n\r\n",
          "\0\0\0"s,                                              // truncated segment count
          "\0\0\0\0\x08\0\0\0only a part"s,                       // truncated message
          "\xff\xff\xff\xff\xff\xff\xff\xff"s,                    // 4 billion segments
          "\0\0\0\0\xff\xff\xff\x7f"s,                            // a segment of 16 GiB
          "\0\0\0\0\x01\0\0\0\xff\xff\xff\xff\xff\xff\xff\xff"s,  // a pointer out of bounds
          "\0\0\0\0\x01\0\0\0\0\0\0\0\0\0\0\0"s,                  // an empty root
          noise};
}

}  // namespace

TEST_GROUP_BASE(BadInput, cluster_test_group){
    void CheckStillServes(caller & club){for (size_t entry
                                              : {0, 1}){CHECK(cluster->entry(entry).IsRunning());
final_answer answer = club.Submit(entry, club.Mint(entry), JobOf(2, 20));
STRCMP_EQUAL("complete", answer.outcome().c_str());
}  // namespace wagtail
CHECK(cluster->daemon(0).IsRunning());
}
static bool HasErrorCode(const final_answer& answer) {
  return answer.json.is_object() &&
         (answer.json.contains("error") || answer.json.contains("reason"));
}
}
;

// A malformed job is refused with a typed error, starts nothing, and does not affect other jobs.
TEST(BadInput, MalformedJobsAreRefusedWithTypedErrors) {
  Launch({.targets = Courts(1)});
  caller club(*cluster);
  for (const std::string& body : BadBodies()) {
    final_answer answer = club.Submit(0, club.Mint(0), body);
    std::string shown = body.substr(0, 60);
    LONGS_EQUAL_TEXT(kUnprocessable, answer.status, shown.c_str());
    CHECK_TEXT(HasErrorCode(answer), shown.c_str());
  }
  final_answer oversize = club.Submit(0, club.Mint(0), std::string(kMaxBodyBytes + 1, ' '));
  LONGS_EQUAL(kTooLarge, oversize.status);
  LONGS_EQUAL(0, cluster->TotalStarts());
  CheckStillServes(club);
}

// A job of the maximum size runs completely.
TEST(BadInput, LargestJobRunsCompletely) {
  Launch({.targets = Courts(3)});
  caller club(*cluster);
  final_answer answer = club.Submit(0, club.Mint(0), JobOf(kMaxTasks, 5));
  STRCMP_EQUAL("complete", answer.outcome().c_str());
}

// Ids that no entry minted, and tokens of no team, are refused.
TEST(BadInput, BadIdsAndTokensAreRefused) {
  Launch({.targets = Courts(1)});
  caller club(*cluster);
  std::string id = club.Mint(0);
  std::string job = JobOf(1, 20);
  std::string forged = id;
  forged.back() = forged.back() == 'A' ? 'B' : 'A';
  for (const std::string& bad : {"x"s, forged, id + "A", id.substr(1), std::string(3000, 'A'),
                                 "%00%ff"s, "..%2f..%2fetc"s}) {
    LONGS_EQUAL_TEXT(kNotFound, club.Submit(0, bad, job).status, bad.substr(0, 60).c_str());
  }
  caller unknown_team(*cluster, "no-such-token");
  LONGS_EQUAL(kUnauthorized, unknown_team.Submit(0, id, job).status);
  CHECK(unknown_team.Mint(0).empty());
  caller no_token(*cluster, "");
  LONGS_EQUAL(kUnauthorized, no_token.Submit(0, id, job).status);
  CHECK(club.Mint(0, 0).empty());
  CHECK(club.Mint(0, 1001).empty());
  LONGS_EQUAL(0, cluster->TotalStarts());
  CheckStillServes(club);
}

// Bytes that are not a valid message only close their own connection.
TEST(BadInput, MalformedBytesOnTheRpcPortsOnlyCloseTheirConnection) {
  Launch({.targets = Courts(1)});
  caller club(*cluster);
  for (const std::string& frame : MalformedFrames()) {
    CHECK(SendRawBytes(cluster->entry_ports(0).rpc, frame));
    CHECK(SendRawBytes(cluster->entry_ports(1).rpc, frame));
    CHECK(SendRawBytes(cluster->daemon_ports(0).rpc, frame));
  }
  CheckStillServes(club);
}

// The same on the HTTP ports of both programs.
TEST(BadInput, MalformedBytesOnTheHttpPortsOnlyCloseTheirConnection) {
  Launch({.targets = Courts(1)});
  caller club(*cluster);
  for (const std::string& frame : MalformedFrames()) {
    CHECK(SendRawBytes(cluster->entry_ports(0).http, frame));
    CHECK(SendRawBytes(cluster->daemon_ports(0).http, frame));
  }
  CheckStillServes(club);
}

// Malformed or invalid changes have no effect.
TEST(BadInput, BadChangesAreRefusedWithTypedErrors) {
  Launch({.targets = Courts(1)});
  uint64_t version = cluster->Version(0);
  std::string cycle =
      R"({"services": {"a": {"depends_on": ["b"]}, "b": {"depends_on": ["a"]}},
          "operators": {"on-call": {"token_sha256": ")" +
      std::string(64, '0') + R"("}}, "failure_domains": ["kandy-1"]})";
  std::vector<json> changes = {
      {{"change_id", "c1"}, {"base_version", version}, {"kind", "explode"}, {"subject", "x"}},
      {{"change_id", "c2"}, {"base_version", -1}, {"kind", "leave_domain"}, {"subject", "kandy-1"}},
      {{"change_id", "c3"}, {"base_version", version}, {"kind", "leave_domain"}, {"subject", "no"}},
      {{"change_id", ""}, {"base_version", version}, {"kind", "apply_text"}, {"text", "{}"}},
      {{"change_id", "c5"}, {"base_version", version}, {"kind", "apply_text"}, {"text", cycle}},
      {{"change_id", "c6"}, {"base_version", version}, {"kind", "apply_text"}, {"text", "{"}},
      json::array()};
  for (const json& change : changes) {
    http_response answer = cluster->Operator(0, "POST", "changes", change.dump());
    std::string shown = change.dump().substr(0, 80);
    CHECK_TEXT(answer.status == 400 || answer.status == kUnprocessable, shown.c_str());
    CHECK_TEXT(answer.body.find("\"error\"") != std::string::npos, shown.c_str());
  }
  LONGS_EQUAL(version, cluster->Version(0));
}

}  // namespace wagtail
