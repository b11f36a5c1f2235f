#include "tests/stand_ins/target/stand_in_target.h"

#include <atomic>
#include <thread>
#include <vector>

#include "base/verify.h"
#include "http/http_server.h"
// Included last: CppUTest's macros would break the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

target_settings Settings(std::string_view extra) {
  auto reader = control_reader::Parse(R"({"target": "t1", "service": "s", "base_ms": 0)" +
                                      std::string(extra) + "}");
  VERIFY(reader.ok());
  auto settings = target_settings::From(*std::move(reader));
  VERIFY(settings.ok());
  return *std::move(settings);
}

http_request RunRequest(std::string task) {
  return {.method = "POST",
          .path = "/run",
          .headers = {{"x-wagtail-job", "j"}, {"x-wagtail-task", std::move(task)}},
          .body = "payload"};
}

nlohmann::json CountersOf(stand_in_target& target) {
  return nlohmann::json::parse(target.Handle({.method = "GET", .path = "/control"}).body);
}

void WaitUntil(const std::function<bool()>& condition) {
  while (!condition()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

}  // namespace

TEST_GROUP(StandInTarget){};

TEST(StandInTarget, EchoesTheBodyAndCountsDoubledStarts) {
  stand_in_target target(Settings(""));
  auto answer = target.Handle(RunRequest("1"));
  LONGS_EQUAL(200, answer.status);
  CHECK(answer.body == R"({"echo":"payload","target":"t1"})");
  target.Handle(RunRequest("2"));
  LONGS_EQUAL(0, CountersOf(target)["doubled"].get<int>());
  target.Handle(RunRequest("1"));
  target.Handle(RunRequest("1"));
  auto counters = CountersOf(target);
  LONGS_EQUAL(1, counters["doubled"].get<int>());
  LONGS_EQUAL(3, counters["doubled_tasks"]["j/1"].get<int>());
  LONGS_EQUAL(4, counters["starts"].get<int>());
  LONGS_EQUAL(0, counters["running_now"].get<int>());
}

TEST(StandInTarget, RunsAtMostItsSlotsConcurrently) {
  stand_in_target target(Settings(R"(, "slots": 2, "stall": true)"));
  std::vector<std::jthread> callers;
  callers.reserve(5);
  for (int task = 0; task < 5; ++task) {
    callers.emplace_back([&target, task] { target.Handle(RunRequest(std::to_string(task))); });
  }
  WaitUntil([&target] { return CountersOf(target)["starts"] == 5; });
  LONGS_EQUAL(2, CountersOf(target)["running_now"].get<int>());
  target.Handle({.method = "POST", .path = "/control", .body = R"({"stall": false})"});
  callers.clear();
  LONGS_EQUAL(5, CountersOf(target)["completed"].get<int>());
  LONGS_EQUAL(2, CountersOf(target)["running_max"].get<int>());
}

TEST(StandInTarget, FailsAllOrAFixedFraction) {
  stand_in_target target(Settings(R"(, "fail_all": true)"));
  LONGS_EQUAL(500, target.Handle(RunRequest("1")).status);
  target.Handle({.method = "POST",
                 .path = "/control",
                 .body = R"({"fail_all": false, "fail_fraction": 0.5})"});
  auto failures = [&target] {
    int failed = 0;
    for (int task = 0; task < 100; ++task) {
      failed += target.Handle(RunRequest(std::to_string(task))).status == 500 ? 1 : 0;
    }
    return failed;
  };
  int first = failures();
  CHECK(first > 0 && first < 100);
  LONGS_EQUAL(first, failures());
}

TEST(StandInTarget, RefusesUnknownSettingsAndControls) {
  auto reader = control_reader::Parse(R"({"target": "t", "service": "s", "speed": 2} // comment)");
  CHECK(reader.ok());
  CHECK_FALSE(target_settings::From(*std::move(reader)).ok());
  stand_in_target target(Settings(""));
  LONGS_EQUAL(400,
              target.Handle({.method = "POST", .path = "/control", .body = R"({"x": 1})"}).status);
  LONGS_EQUAL(400, target.Handle({.method = "POST", .path = "/run"}).status);
}

TEST(StandInTarget, AnnouncesUntilAcceptedAndPeriodicallyAfterwards) {
  std::atomic<int> calls = 0;
  std::atomic<bool> is_valid = true;
  auto daemon = http_server::Start({}, [&](const http_request& request) {
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    is_valid = is_valid && request.path == "/v1/announce" && body["target"] == "t1" &&
               body["service"] == "s" && body["url"] == "http://127.0.0.1:4711" &&
               body["slots"] == 8 && body.value("accelerator", "none").empty();
    return http_response{.status = ++calls == 1 ? 503 : 200};
  });
  CHECK(daemon.ok());
  std::string url = "http://127.0.0.1:" + std::to_string((*daemon)->port());
  announcer announcing(Settings(R"(, "announce_every_ms": 1, "daemon_url": ")" + url + "\""), 4711);
  WaitUntil([&announcing] { return announcing.accepted() >= 2; });
  CHECK(calls >= 3);
  CHECK(is_valid);
}

}  // namespace wagtail
