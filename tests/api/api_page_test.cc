#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>

#include "base/verify.h"
#include "http/http_client.h"
#include "tests/api/page_examples.h"
#include "tests/api/page_system.h"
// Included last: CppUTest's macros would break the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

constexpr duration kStateTimeout = std::chrono::seconds(60);
constexpr duration kPollInterval = std::chrono::milliseconds(20);

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

// Sends the request of an example; repeats a GET until the answer matches or the timeout.
// @return the difference from the page; empty if there is none
std::string RunExample(const page_example& example, const page_system& system,
                       page_values& values) {
  http_call call{.method = example.request.method,
                 .url = system.UrlOfHost(example.host) + values.Fill(example.request.path),
                 .headers = example.request.headers,
                 .body = values.Fill(example.request.body),
                 .timeout = kStateTimeout};
  instant deadline = MonotonicNow() + kStateTimeout;
  while (true) {
    absl::StatusOr<http_response> answer = CallHttp(call);
    std::string difference =
        answer.ok() ? DifferenceOf(example, *answer, values) : MessageOf(answer.status());
    bool may_repeat = example.request.method == "GET" && MonotonicNow() < deadline;
    if (difference.empty() || !may_repeat) {
      return difference;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

TEST_GROUP(ApiPage){};

TEST(ApiPage, EveryExampleIsAnsweredAsShown) {
  page_system system;
  page_values values;
  values.Set("$TARGET_URL", system.target_url());
  std::vector<page_example> examples = ReadExamples(ReadPage());
  CHECK(examples.size() > 30);
  for (const page_example& example : examples) {
    std::string difference = RunExample(example, system, values);
    std::string where = "docs/API.md:" + std::to_string(example.line) + ": " + difference;
    CHECK_TEXT(difference.empty(), where.c_str());
  }
}

TEST(ApiPage, ReportsDifferences) {
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
