#include <rapidcheck.h>

#include <string>

#include "platform/announcement_json.h"
#include "platform/job_json.h"
#include "platform/node_settings.h"
#include "platform/plan_json.h"
#include "platform/target_json.h"
#include "platform/task_name.h"

// Included last: its macros must not affect other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::platform {
namespace {

/// Passes bytes to every parser; the test is that each returns without a crash.
void ParseWithEveryReader(const std::string& bytes) {
  (void)ReadAnnouncement("i-1", bytes).ok();
  (void)ReadRenewal(bytes).ok();
  (void)ReadJob(bytes).ok();
  (void)ParseNodeSettings(bytes).ok();
  (void)ReadPlan({{"config", bytes}}, 1).ok();
  (void)ParseTaskName(bytes).has_value();
  (void)ReadStartAnswer({.status = 409, .headers = {}, .body = bytes});
  (void)ReadRenewalRefusal({.status = 409, .headers = {}, .body = bytes});
}

const std::string kValidBody =
    R"({"job_spec":"x","best_effort":true,"version":3,"clock_ms":5,"service":"s","addr":"a",)"
    R"("zone":"z","state":"ready","seq":1,"born":2,"capacity":{"cpu":1,"mem_mb":1,"gpu":0},)"
    R"("steps":[{"count":1,"cpu":5,"estimate_ms":3,"after":[0]}],"routes":[{"name":"n"}],)"
    R"("services":[{"name":"s"}],"running":[["a.0.0.1",1,"",3]],"ended":[[1,"a.0.0.1",1,"done",""]]})";

}  // namespace

TEST_GROUP(RandomBytes){};

TEST(RandomBytes, DoNotCrashAnyReader) {
  CHECK(rc::check([](const std::string& bytes) { ParseWithEveryReader(bytes); }));
}

TEST(RandomBytes, ValidBodiesWithOneChangedByteDoNotCrash) {
  CHECK(rc::check([] {
    std::string bytes = kValidBody;
    auto position = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[position] = *rc::gen::arbitrary<char>();
    ParseWithEveryReader(bytes);
  }));
}

TEST(RandomBytes, NumbersOutOfRangeDoNotCrash) {
  for (const char* number : {"-1", "1e99", "18446744073709551616", "null", "\"5\"", "[]"}) {
    std::string bytes = kValidBody;
    size_t position = 0;
    while ((position = bytes.find(":5", position)) != std::string::npos) {
      bytes.replace(position + 1, 1, number);
      ++position;
    }
    ParseWithEveryReader(bytes);
  }
}

}  // namespace wagtail::platform
