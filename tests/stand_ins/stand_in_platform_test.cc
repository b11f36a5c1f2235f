#include "tests/stand_ins/platform/stand_in_platform.h"

#include <string>

#include "base/verify.h"
// Included last: CppUTest's macros would break the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

platform_settings Settings(std::string_view text) {
  auto reader = control_reader::Parse(text);
  VERIFY(reader.ok());
  auto settings = platform_settings::From(*std::move(reader));
  VERIFY(settings.ok());
  return *std::move(settings);
}

nlohmann::json CountersOf(stand_in_platform& platform) {
  return nlohmann::json::parse(platform.Handle({.method = "GET", .path = "/control"}).body);
}

const http_request kReadAll{.method = "GET", .path = "/v1/rows"};
const http_request kPutRow{.method = "POST",
                           .path = "/v1/transactions",
                           .body = R"({"conditions": [], "writes": [{"key": "k", "value": "v"}]})"};

}  // namespace

TEST_GROUP(StandInPlatform){};

TEST(StandInPlatform, StoresObjects) {
  stand_in_platform platform(Settings("{}"));
  std::string path = "/v1/objects/checkpoints/1";
  LONGS_EQUAL(404, platform.Handle({.method = "GET", .path = path}).status);
  LONGS_EQUAL(200, platform.Handle({.method = "PUT", .path = path, .body = "bytes"}).status);
  CHECK(platform.Handle({.method = "GET", .path = path}).body == "bytes");
  LONGS_EQUAL(200, platform.Handle({.method = "DELETE", .path = path}).status);
  LONGS_EQUAL(404, platform.Handle({.method = "GET", .path = path}).status);
}

TEST(StandInPlatform, AdmitsAtMostItsRatePerSecond) {
  rate_window window;
  instant start{std::chrono::seconds(100)};
  for (int call = 0; call < 3; ++call) {
    CHECK(window.Take(3, start));
  }
  CHECK_FALSE(window.Take(3, start + std::chrono::milliseconds(999)));
  CHECK(window.Take(3, start + std::chrono::seconds(1)));
  CHECK(window.Take(0, start + std::chrono::seconds(1)));
}

TEST(StandInPlatform, RejectsTemporarilyAndRefusesInvalidControls) {
  stand_in_platform platform(Settings("{} // defaults"));
  auto control = [&platform](std::string body) {
    return platform.Handle({.method = "POST", .path = "/control", .body = std::move(body)}).status;
  };
  LONGS_EQUAL(200, control(R"({"reject_for_ms": 3600000})"));
  LONGS_EQUAL(503, platform.Handle(kPutRow).status);
  LONGS_EQUAL(200, control(R"({"reject_for_ms": 0})"));
  LONGS_EQUAL(200, platform.Handle(kPutRow).status);
  for (const char* bad : {"", "[]", R"({"outage": 1})", R"({"slow_ms": -1})", R"({"slow": 1})"}) {
    LONGS_EQUAL(400, control(bad));
  }
}

TEST(StandInPlatform, CountsWritesConflictsAndLostAnswers) {
  stand_in_platform platform(Settings(R"({"lose_answers": true})"));
  LONGS_EQUAL(504, platform.Handle(kPutRow).status);
  platform.Handle({.method = "POST", .path = "/control", .body = R"({"lose_answers": false})"});
  http_request conflicting = kPutRow;
  conflicting.body = R"({"conditions": [{"key": "k", "revision": 0}], "writes": []})";
  LONGS_EQUAL(409, platform.Handle(conflicting).status);
  auto counters = CountersOf(platform);
  LONGS_EQUAL(1, counters["writes"].get<int>());
  LONGS_EQUAL(1, counters["conflicts"].get<int>());
  LONGS_EQUAL(1, counters["lost_answers"].get<int>());
}

}  // namespace wagtail
