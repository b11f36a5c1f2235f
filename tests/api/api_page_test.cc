#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "base/verify.h"
#include "entry/entry_daemon.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "security/digest.h"
#include "services/targetd/targetd_http.h"
#include "table/memory_table.h"
#include "target/target_daemon.h"
#include "tests/api/page_examples.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

constexpr duration kStateLimit = std::chrono::seconds(60);
constexpr duration kPollPause = std::chrono::milliseconds(20);
constexpr duration kLongTask = std::chrono::milliseconds(300);
constexpr const char* kClusterKey = "a-key-of-the-api-test";

std::string UrlOf(uint16_t port) { return "http://127.0.0.1:" + std::to_string(port); }

// A target that does what the bodies of the page ask for.
http_response RunTask(const http_request& request) {
  if (request.body == "sleep") {
    std::this_thread::sleep_for(kLongTask);
  }
  int status = request.body == "fail" ? 500 : 200;
  return {.status = status, .headers = {}, .body = "done: " + request.body};
}

std::unique_ptr<http_server> Serve(http_handler handler) {
  auto server = http_server::Start({}, std::move(handler));
  VERIFY(server.ok());
  return *std::move(server);
}

std::unique_ptr<entry_daemon> MakeEntry(std::string name, table& table) {
  entry_daemon_options options;
  options.name = std::move(name);
  options.failure_domain = "kandy-1";
  options.cluster_key = kClusterKey;
  options.bootstrap_token_digest = Sha256Hex("operator-token");
  auto entry = std::make_unique<entry_daemon>(std::move(options), table);
  VERIFY(entry->Start().ok());
  return entry;
}

target_daemon_options DaemonOptions() {
  target_daemon_options options;
  options.target = "court-1";
  options.failure_domain = "kandy-1";
  options.cluster_key = kClusterKey;
  return options;
}

// The processes that the page speaks of, in this one.
struct page_system {
  memory_table table;
  std::unique_ptr<http_server> target = Serve(RunTask);
  std::unique_ptr<entry_daemon> entry_1 = MakeEntry("entry-1", table);
  std::unique_ptr<entry_daemon> entry_2 = MakeEntry("entry-2", table);
  target_daemon daemon{DaemonOptions(), table};
  std::unique_ptr<http_server> daemon_http;

  page_system() {
    VERIFY(daemon.Listen().ok());
    daemon_http = Serve(
        [this](const http_request& request) { return AnswerTargetdRequest(daemon, request); });
  }
  std::string UrlOfHost(const std::string& host) const {
    if (host == "court-1-daemon") {
      return UrlOf(daemon_http->port());
    }
    VERIFY(host == "entry-1" || host == "entry-2");
    return UrlOf(host == "entry-1" ? entry_1->http_port() : entry_2->http_port());
  }
};

std::string ReadPage() {
  const char* source = std::getenv("WAGTAIL_SOURCE");
  VERIFY(source != nullptr);
  std::ifstream file(std::string(source) + "/docs/API.md");
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string DifferenceOf(const page_example& example, const http_response& answer,
                         page_values& values) {
  if (answer.status != example.status) {
    return "status " + std::to_string(answer.status) + ": " + answer.body;
  }
  if (!example.body.has_value()) {
    return "";
  }
  constexpr bool kAllowExceptions = false;
  return values.Difference(*example.body,
                           nlohmann::json::parse(answer.body, nullptr, kAllowExceptions));
}

// @return what differs from the page; a GET is repeated until nothing does
std::string Try(const page_example& example, const page_system& system, page_values& values) {
  http_call call{.method = example.request.method,
                 .url = system.UrlOfHost(example.host) + values.Fill(example.request.path),
                 .headers = example.request.headers,
                 .body = values.Fill(example.request.body),
                 .timeout = kStateLimit};
  instant limit = MonotonicNow() + kStateLimit;
  while (true) {
    absl::StatusOr<http_response> answer = CallHttp(call);
    std::string difference =
        answer.ok() ? DifferenceOf(example, *answer, values) : MessageOf(answer.status());
    bool may_repeat = example.request.method == "GET" && MonotonicNow() < limit;
    if (difference.empty() || !may_repeat) {
      return difference;
    }
    std::this_thread::sleep_for(kPollPause);
  }
}

}  // namespace

TEST_GROUP(ApiPage){};

TEST(ApiPage, EveryExampleIsAnsweredAsShown) {
  page_system system;
  page_values values;
  values.Set("$TARGET_URL", UrlOf(system.target->port()));
  std::vector<page_example> examples = ReadExamples(ReadPage());
  CHECK(examples.size() > 30);
  for (const page_example& example : examples) {
    std::string difference = Try(example, system, values);
    std::string where = "docs/API.md:" + std::to_string(example.line) + ": " + difference;
    CHECK_TEXT(difference.empty(), where.c_str());
  }
}

TEST(ApiPage, TellsWhatDiffers) {
  page_values values;
  auto differs = [&values](const char* expected, const char* actual) {
    return values.Difference(nlohmann::json::parse(expected), nlohmann::json::parse(actual));
  };
  CHECK(differs(R"({"a": 1, "b": "..."})", R"({"a": 1, "b": [2], "c": 3})").empty());
  CHECK(differs(R"({"a": 1})", R"({"a": 2})") == "a: 1 expected, 2 found");
  CHECK(differs(R"({"a": 1})", R"({})") == "a: missing");
  CHECK(!differs(R"([1])", R"([1, 2])").empty());
  CHECK(differs(R"("$ID")", R"("x")").empty());
  CHECK(differs(R"("$ID")", R"("x")").empty());
  CHECK(!differs(R"("$ID")", R"("y")").empty());
}

}  // namespace wagtail
