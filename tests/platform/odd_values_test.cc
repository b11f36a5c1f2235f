#include <string>
#include <vector>

#include "platform/announcement_json.h"
#include "platform/control_request.h"
#include "platform/entry_rows.h"
#include "platform/job_json.h"
#include "platform/peer_address.h"
#include "platform/plan_json.h"
#include "platform/target_json.h"

// Included last: its macros must not affect other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::platform {
namespace {

constexpr size_t kDeep = 100'000;
const std::vector<std::string> kOddNumbers = {
    "-1", "1e300", "-1e300", "18446744073709551616", "18446744073709551615", "\"5\"", "[]", "null"};

/// @return `text` with its first `from` replaced by `to`
std::string With(std::string text, const std::string& from, const std::string& to) {
  size_t position = text.find(from);
  CHECK(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

const std::string kAnnouncement =
    R"({"service":"lights","addr":"10.0.0.1:80","zone":"z","state":"ready","seq":11,"born":22,)"
    R"("clock_ms":33,"capacity":{"cpu":44,"mem_mb":55,"gpu":66}})";
const std::string kJob =
    R"({"job_spec":"x","best_effort":true,"steps":[{"count":1,"cpu":5,"estimate_ms":3},)"
    R"({"count":22,"cpu":44,"mem_mb":55,"gpu":66,"estimate_ms":77,"after":[0]}]})";
const std::string kPlan =
    R"({"version":11,"routes":[{"name":"n","host":"h","path_prefix":"/","service":"s",)"
    R"("timeout_ms":22,"target_latency_ms":33,"priority":44,"max_attempts":55,"stretch":1.6}],)"
    R"("services":[{"name":"s"}],"limits":{"max_body_bytes":66}})";
const std::string kRenewal = R"({"clock_ms":11,"running":[["5c0e7a21d94b36f8.0.0.1",22,"",3]],)"
                             R"("ended":[[33,"5c0e7a21d94b36f8.0.0.1",44,"done",""]]})";

}  // namespace

TEST_GROUP(OddValues){};

TEST(OddValues, ANumberOutOfRangeInAnAnnouncementIsRefused) {
  CHECK(ReadAnnouncement("i-1", kAnnouncement).ok());
  for (const char* number : {"11", "22", "33", "44", "55", "66"}) {
    for (const std::string& odd : kOddNumbers) {
      CHECK(!ReadAnnouncement("i-1", With(kAnnouncement, number, odd)).ok());
    }
  }
}

TEST(OddValues, AnAddressOutOfRangeInAnAnnouncementIsRefused) {
  for (const char* odd : {"10.0.0.1:70000", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:", "10.0.0.1",
                          "10.0.0.256:80", "unix:/tmp/x", "a.example:80", "", "10.0.0.1:80x"}) {
    CHECK(!ReadAnnouncement("i-1", With(kAnnouncement, "10.0.0.1:80", odd)).ok());
    CHECK(!IsAddress(odd));
  }
  CHECK(IsAddress("10.0.0.1:65535"));
}

TEST(OddValues, AnOddRowAmongTheEntriesIsLeftOut) {
  std::vector<std::string> addresses = EntryAddresses({{"10.0.0.1:7420", "{}"},
                                                       {"10.0.0.1:70000", "{}"},
                                                       {"10.0.0.2:7420", std::string(kDeep, '[')},
                                                       {"a.example:80", "{}"},
                                                       {"unix:/tmp/x", "{}"}});
  CHECK(addresses == (std::vector<std::string>{"10.0.0.1:7420", "10.0.0.2:7420"}));
}

TEST(OddValues, ANumberOutOfRangeInAJobIsRefused) {
  CHECK(ReadJob(kJob).ok());
  for (const char* number : {"22", "44", "55", "66", "77", "[0]"}) {
    for (const std::string& odd : kOddNumbers) {
      bool is_empty_list = std::string(number) == "[0]" && odd == "[]";
      bool is_no_list = std::string(number) == "[0]" && odd == "null";
      CHECK(is_empty_list || is_no_list || !ReadJob(With(kJob, number, odd)).ok());
    }
  }
  CHECK(!ReadJob(With(kJob, "[0]", "[1]")).ok());
  CHECK(!ReadJob(With(kJob, "[0]", "[1e300]")).ok());
}

TEST(OddValues, ANumberOutOfRangeInThePlanIsRefused) {
  CHECK(ReadPlan({{"config", kPlan}}, 1).ok());
  for (const char* number : {"11", "22", "33", "44", "55", "66", "1.6"}) {
    for (const char* odd : {"-1", "1e300", "18446744073709551616", "\"5\"", "[]"}) {
      CHECK(!ReadPlan({{"config", With(kPlan, number, odd)}}, 1).ok());
    }
  }
}

TEST(OddValues, ANumberOutOfRangeInARenewalIsRefused) {
  CHECK(ReadRenewal(kRenewal).ok());
  for (const char* number : {"11", "22", "33", "44"}) {
    for (const std::string& odd : kOddNumbers) {
      CHECK(!ReadRenewal(With(kRenewal, number, odd)).ok());
    }
  }
}

// Guards against an agent that hung: an id that can't be sent back in a header was accepted.
TEST(OddValues, AnIdThatIsNoHeaderIsRefused) {
  for (const char* odd : {"", "i\n\r", "i 1", "i\x7f", "\xc3\xa4"}) {
    CHECK(!ReadAnnouncement(odd, kAnnouncement).ok());
    CHECK(!ReadDeparture(odd, "").ok());
  }
  CHECK(ReadAnnouncement("i-7f3a91c2", kAnnouncement).ok());
}

TEST(OddValues, ADeadlineOutOfRangeIsBounded) {
  for (const char* odd : {"1e300", "inf", "nan", "-1", "1e18"}) {
    http_request request;
    request.headers["deadline-ms"] = odd;
    std::optional<duration> deadline = ReadDeadline(request);
    CHECK(!deadline.has_value() ||
          (*deadline > duration::zero() && *deadline <= std::chrono::hours(24)));
  }
}

TEST(OddValues, DeepNestingIsRefusedByEveryReader) {
  for (const std::string& deep :
       {std::string(kDeep, '['), std::string(kDeep, '[') + std::string(kDeep, ']')}) {
    CHECK(!ReadAnnouncement("i-1", deep).ok());
    CHECK(!ReadAnnouncement("i-1", With(kAnnouncement, "44", deep)).ok());
    CHECK(!ReadJob(deep).ok());
    CHECK(!ReadJob(With(kJob, "44", deep)).ok());
    CHECK(!ReadRenewal(deep).ok());
    CHECK(!ReadRenewal(With(kRenewal, "22", deep)).ok());
    CHECK(!ReadPlan({{"config", deep}}, 1).ok());
    CHECK(!ReadPlan({{"config", With(kPlan, "44", deep)}}, 1).ok());
    CHECK(ReadStartAnswer({.status = 409, .headers = {}, .body = deep}).answer ==
          leased::start_answer::kInvalid);
    CHECK(ReadRenewalRefusal({.status = 409, .headers = {}, .body = deep}) ==
          leased::renew_failure::kRefused);
    http_request request;
    request.path = "/-/Instances.Heartbeat/i-1";
    request.body = deep;
    CHECK(!ReadControlRequest(request).ok());
  }
}

}  // namespace wagtail::platform
