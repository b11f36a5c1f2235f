#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "base/verify.h"
#include "http/http_client.h"
#include "security/digest.h"
#include "tests/api/page_system.h"
// Included last: CppUTest's macros would break the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

constexpr duration kPollInterval = std::chrono::milliseconds(20);
constexpr int kMaxPolls = 3000;
constexpr const char* kJob = R"({"tasks": [{"service": "court-control", "body": "court 1 on"}]})";

std::string TextWith(const std::string& services) {
  return R"({"services": )" + services + R"(, "teams": {"club": {"token_sha256": ")" +
         Sha256Hex("club-token") + R"("}}, "operators": {"on-call": {"token_sha256": ")" +
         Sha256Hex("operator-token") + R"("}}, "failure_domains": ["kandy-1"]})";
}

// A resubmission of a job that ran may be refused, but must never be answered "not run".
struct submitted_system {
  page_system system;

  http_response Call(const std::string& method, const std::string& host, const std::string& path,
                     const std::string& token, const std::string& body, http_fields headers = {}) {
    headers["authorization"] = "Bearer " + token;
    auto answer = CallHttp({.method = method,
                            .url = system.UrlOfHost(host) + path,
                            .headers = std::move(headers),
                            .body = body});
    VERIFY(answer.ok());
    return *std::move(answer);
  }

  void Apply(uint64_t base_version, const std::string& services) {
    nlohmann::json change = {{"change_id", "change-" + std::to_string(base_version)},
                             {"base_version", base_version},
                             {"kind", "apply_text"},
                             {"text", TextWith(services)}};
    auto answer = Call("POST", "entry-1", "/v1/operator/changes", "operator-token", change.dump());
    VERIFY(answer.status == 200);
  }

  void WaitFor(const std::string& path, const std::string& part) {
    for (int tries = 0; tries < kMaxPolls; ++tries) {
      if (Call("GET", "entry-1", path, "operator-token", "").body.find(part) != std::string::npos) {
        return;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    VERIFY_NOT_REACHED();
  }

  void BringUp() {
    Apply(0, R"({"court-control": {}, "sound": {}})");
    nlohmann::json announcement = {
        {"service", "court-control"}, {"url", system.target_url()}, {"slots", 2}};
    Call("POST", "court-1-daemon", "/v1/announce", "", announcement.dump());
    WaitFor("/v1/operator/targets", R"("state":"ready")");
  }
};

bool IsNotRun(const http_response& answer) {
  return answer.body.find("failed_not_run") != std::string::npos;
}

}  // namespace

TEST_GROUP(Resubmission){};

TEST(Resubmission, OfAJobThatRanIsNeverAnsweredNotRunAfterItsServiceIsRemoved) {
  submitted_system jobs;
  jobs.BringUp();
  std::string ids = jobs.Call("POST", "entry-1", "/v1/job-ids", "club-token", "").body;
  std::string path = "/v1/jobs/" + nlohmann::json::parse(ids)["ids"][0].get<std::string>();
  LONGS_EQUAL(200, jobs.Call("PUT", "entry-1", path, "club-token", kJob).status);
  jobs.Apply(1, R"({"sound": {}})");
  jobs.WaitFor("/v1/operator/configuration", R"("version":2)");
  CHECK(!IsNotRun(jobs.Call("PUT", "entry-1", path, "club-token", kJob)));
}

TEST(Resubmission, OfAKeyThatRanIsNeverAnsweredNotRunDuringATableOutage) {
  submitted_system jobs;
  jobs.BringUp();
  http_fields key = {{"idempotency-key", "match-17"}};
  LONGS_EQUAL(200, jobs.Call("POST", "entry-1", "/v1/jobs", "club-token", kJob, key).status);
  jobs.system.SetTableOutage(true);
  CHECK(!IsNotRun(jobs.Call("POST", "entry-2", "/v1/jobs", "club-token", kJob, key)));
}

}  // namespace wagtail
