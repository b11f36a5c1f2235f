#include "table/http_table.h"

#include <memory>
#include <string>

#include "base/verify.h"
#include "http/http_error.h"
#include "http/http_server.h"
#include "tests/stand_ins/platform/stand_in_platform.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

template <typename T>
void CheckError(const absl::StatusOr<T>& result, table_error expected) {
  CHECK_FALSE(result.ok());
  CHECK(ErrorOf<table_error>(result.status()) == expected);
}

/// Serves the platform's stand-in inside the test process.
class platform_server {
 public:
  platform_server() : platform_(platform_settings{}) {
    auto server = http_server::Start(
        platform_.server_options(),
        [this](const http_request& request) { return platform_.Handle(request); });
    VERIFY(server.ok());
    server_ = *std::move(server);
  }
  ~platform_server() { Stop(); }
  platform_server(const platform_server&) = delete;
  platform_server& operator=(const platform_server&) = delete;

  std::string url() const { return "http://127.0.0.1:" + std::to_string(server_->port()); }
  void Control(std::string_view settings) {
    VERIFY(platform_.Handle({.method = "POST", .path = "/control", .body = std::string(settings)})
               .status == 200);
  }
  void Stop() {
    platform_.OnStopping();
    server_->Stop();
  }

 private:
  stand_in_platform platform_;
  std::unique_ptr<http_server> server_;
};

http_table TableAnswering(int status, const std::string& body) {
  return http_table({.base_url = "http://127.0.0.1:1"},
                    [status, body](const http_call&) -> absl::StatusOr<http_response> {
                      return http_response{.status = status, .body = body};
                    });
}

http_table TableFailing(http_error error) {
  return http_table({.base_url = "http://127.0.0.1:1"},
                    [error](const http_call&) -> absl::StatusOr<http_response> {
                      return MakeError(error, "injected");
                    });
}

const table_transaction kPutA{.writes = {{.key = "a", .value = "1"}}};

}  // namespace

TEST_GROUP(HttpTable) {
  platform_server platform;
  http_table rows{{.base_url = platform.url(), .timeout = std::chrono::seconds(1)}};
};

TEST(HttpTable, CommitsReadsAndReportsConflicts) {
  std::string key = "a&b=c/é %2F";
  table_transaction create{.conditions = {{.key = key}},
                           .writes = {{.key = key, .value = "\"quoted\"\n"}}};
  LONGS_EQUAL(1, *rows.Commit(create));
  CheckError(rows.Commit(create), table_error::kConflict);
  auto changes = rows.Read(key, 0);
  CHECK(changes.ok());
  LONGS_EQUAL(1, changes->rows.size());
  CHECK(changes->rows[0] == (table_row{.key = key, .revision = 1, .value = "\"quoted\"\n"}));
  LONGS_EQUAL(2, *rows.Commit({.writes = {{.key = key}}}));
  auto erased = rows.Read("a", 1);
  CHECK(erased->rows[0] == (table_row{.key = key, .revision = 2}));
  CHECK(rows.Read("a", 2)->rows.empty());
}

TEST(HttpTable, AnOutageWritesNothing) {
  platform.Control(R"({"outage": true})");
  CheckError(rows.Commit(kPutA), table_error::kUnavailable);
  CheckError(rows.Read("", 0), table_error::kUnavailable);
  platform.Control(R"({"outage": false})");
  CHECK(rows.Read("", 0)->rows.empty());
}

TEST(HttpTable, AnAnswerLostAfterTheEffectIsAnUnknownOutcome) {
  platform.Control(R"({"lose_answers": true})");
  CheckError(rows.Commit(kPutA), table_error::kOutcomeUnknown);
  platform.Control(R"({"lose_answers": false})");
  LONGS_EQUAL(1, rows.Read("", 0)->rows.size());
}

TEST(HttpTable, ATableSlowerThanTheTimeoutIsAnUnknownOutcome) {
  platform.Control(R"({"slow_ms": 60000})");
  CheckError(rows.Commit(kPutA), table_error::kOutcomeUnknown);
  CheckError(rows.Read("", 0), table_error::kUnavailable);
}

TEST(HttpTable, AStoppedServiceIsUnavailable) {
  platform.Stop();
  CheckError(rows.Commit(kPutA), table_error::kUnavailable);
  CheckError(rows.Read("", 0), table_error::kUnavailable);
}

TEST(HttpTable, RefusesTextThatIsNotUtf8BeforeAnythingIsSent) {
  CheckError(rows.Commit({.writes = {{.key = "a", .value = "\xff"}}}), table_error::kBadAnswer);
  CHECK(rows.Read("", 0)->rows.empty());
}

TEST_GROUP(HttpTableAnswers){};

TEST(HttpTableAnswers, OnlyAProvenLackOfEffectIsReportedAsNotWritten) {
  CheckError(TableFailing(http_error::kConnectFailed).Commit(kPutA), table_error::kUnavailable);
  CheckError(TableFailing(http_error::kNoAnswer).Commit(kPutA), table_error::kOutcomeUnknown);
  CheckError(TableAnswering(503, "").Commit(kPutA), table_error::kUnavailable);
  CheckError(TableAnswering(409, "").Commit(kPutA), table_error::kConflict);
  for (int status : {201, 204, 301, 400, 404, 413, 429, 500, 502, 504}) {
    CheckError(TableAnswering(status, R"({"revision": 1})").Commit(kPutA),
               table_error::kOutcomeUnknown);
    CheckError(TableAnswering(status, R"({"revision": 1, "rows": []})").Read("", 0),
               table_error::kBadAnswer);
  }
}

TEST(HttpTableAnswers, MalformedCommitAnswersAreUnknownOutcomes) {
  for (const char* body :
       {"", "{", "[]", "null", "1", "{}", R"({"revision": null})", R"({"revision": "1"})",
        R"({"revision": -1})", R"({"revision": 1.5})", R"({"revision": 1e400})",
        R"({"revision": 18446744073709551616})", R"({"revision": 1} trailing)", "\xff\xfe"}) {
    CheckError(TableAnswering(200, body).Commit(kPutA), table_error::kOutcomeUnknown);
  }
  CheckError(TableAnswering(200, std::string(1'000'000, '[')).Commit(kPutA),
             table_error::kOutcomeUnknown);
}

TEST(HttpTableAnswers, MalformedReadAnswersAreBadAnswers) {
  for (const char* body :
       {"", "{", "[]", "{}", R"({"revision": 1})", R"({"rows": []})",
        R"({"revision": 5, "rows": {}})", R"({"revision": 5, "rows": [1]})",
        R"({"revision": 5, "rows": [{}]})",
        R"({"revision": 5, "rows": [{"key": 1, "revision": 4, "value": "v"}]})",
        R"({"revision": 5, "rows": [{"key": "p", "value": "v"}]})",
        R"({"revision": 5, "rows": [{"key": "p", "revision": 4}]})",
        R"({"revision": 5, "rows": [{"key": "p", "revision": 4, "value": 7}]})",
        R"({"revision": 5, "rows": [{"key": "p", "revision": 6, "value": "v"}]})",
        R"({"revision": 5, "rows": [{"key": "p", "revision": 0, "value": "v"}]})",
        R"({"revision": 5, "rows": [{"key": "p", "revision": 3, "value": "v"}]})",
        R"({"revision": 5, "rows": [{"key": "other", "revision": 4, "value": "v"}]})",
        R"({"revision": 2, "rows": []})"}) {
    CheckError(TableAnswering(200, body).Read("p", 3), table_error::kBadAnswer);
  }
  CheckError(TableAnswering(200, std::string(1'000'000, '[')).Read("p", 3),
             table_error::kBadAnswer);
  CHECK(
      TableAnswering(200, R"({"revision": 5, "rows": [{"key": "p", "revision": 4, "value": "v"}]})")
          .Read("p", 3)
          .ok());
}

}  // namespace wagtail
