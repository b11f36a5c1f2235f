#include <rapidcheck.h>

#include <string>

#include "platform/announcement_json.h"
#include "platform/job_json.h"
#include "platform/node_settings.h"
#include "platform/plan_json.h"
#include "platform/target_json.h"
#include "platform/task_name.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::platform {
namespace {

/// Feeds bytes to every reader; the test is that each returns.
void ReadAll(const std::string& bytes) {
  (void)ReadAnnouncement("i-1", bytes).ok();
  (void)ReadRenewal(bytes).ok();
  (void)ReadJob(bytes).ok();
  (void)ParseNodeSettings(bytes).ok();
  (void)ReadPlan({{"config", bytes}}, 1).ok();
  (void)ParseTaskName(bytes).has_value();
  (void)ReadStartAnswer({.status = 409, .headers = {}, .body = bytes});
  (void)ReadRenewalRefusal({.status = 409, .headers = {}, .body = bytes});
}

const std::string kSound =
    R"({"job_spec":"x","best_effort":true,"version":3,"clock_ms":5,"service":"s","addr":"a",)"
    R"("zone":"z","state":"ready","seq":1,"born":2,"capacity":{"cpu":1,"mem_mb":1,"gpu":0},)"
    R"("steps":[{"count":1,"cpu":5,"estimate_ms":3,"after":[0]}],"routes":[{"name":"n"}],)"
    R"("services":[{"name":"s"}],"running":[["a.0.0.1",1,"",3]],"ended":[[1,"a.0.0.1",1,"done",""]]})";

}  // namespace

TEST_GROUP(RandomBytes){};

TEST(RandomBytes, DoNotCrashAnyReader) {
  CHECK(rc::check([](const std::string& bytes) { ReadAll(bytes); }));
}

TEST(RandomBytes, ValidBodiesWithOneChangedByteDoNotCrash) {
  CHECK(rc::check([] {
    std::string bytes = kSound;
    auto place = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[place] = *rc::gen::arbitrary<char>();
    ReadAll(bytes);
  }));
}

TEST(RandomBytes, NumbersOutOfRangeDoNotCrash) {
  for (const char* number : {"-1", "1e99", "18446744073709551616", "null", "\"5\"", "[]"}) {
    std::string bytes = kSound;
    size_t place = 0;
    while ((place = bytes.find(":5", place)) != std::string::npos) {
      bytes.replace(place + 1, 1, number);
      ++place;
    }
    ReadAll(bytes);
  }
}

}  // namespace wagtail::platform
