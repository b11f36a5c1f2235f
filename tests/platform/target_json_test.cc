#include "platform/target_json.h"

#include "platform/announcement_json.h"
#include "platform/control_request.h"
#include "platform/task_name.h"

// Included last: its macros must not affect other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::platform {
namespace {

using leased::start_answer;

const std::string kHeartbeat =
    R"({"service":"lights","addr":"10.128.0.9:8080","zone":"north","version":"v1","slots":8,
    "state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
    "labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":1700000000000})";

start_answer AnswerOf(int status, const std::string& body) {
  return ReadStartAnswer({.status = status, .headers = {}, .body = body}).answer;
}

std::string Without(std::string text, const std::string& part) {
  return text.erase(text.find(part), part.size());
}

}  // namespace

TEST_GROUP(TargetJson){};

TEST(TargetJson, NamesTasksAsThePlatformDoes) {
  leased::task_ref task{.job = "5c0e7a21d94b36f8", .step = 1, .index = 17};
  STRCMP_EQUAL("5c0e7a21d94b36f8.0.1.17", TaskName(task).c_str());
  CHECK(ParseTaskName("5c0e7a21d94b36f8.0.1.17") == task);
  CHECK(!ParseTaskName("5c0e7a21d94b36f8.1").has_value());
  CHECK(!ParseTaskName("a.0.1.x").has_value());
}

TEST(TargetJson, WritesAStart) {
  leased::start_call call{.task = {.job = "ab", .step = 0, .index = 2},
                          .run = 3,
                          .text = std::make_shared<const std::string>("on \"now\""),
                          .lease_until_ms = 486000,
                          .fence = 7};
  STRCMP_EQUAL(
      R"({"deadline_ms":486000,"fence":7,"job_spec":"on \"now\"","run":3,"task":"ab.0.0.2"})",
      WriteStart(call).c_str());
}

TEST(TargetJson, WritesARenewal) {
  leased::renew_call call{.fence = 7, .last_end = 57, .wait = std::chrono::milliseconds(150)};
  STRCMP_EQUAL(R"({"fence":7,"last_seen":57,"wait_ms":150})", WriteRenewal(call).c_str());
  call.lease_until_ms = 486000;
  call.wait = duration::zero();
  STRCMP_EQUAL(R"({"deadline_ms":486000,"fence":7,"last_seen":57})", WriteRenewal(call).c_str());
}

TEST(TargetJson, ReadsTheAnswersToAStart) {
  CHECK(AnswerOf(200, R"({"clock_ms":1})") == start_answer::kStarted);
  CHECK(AnswerOf(409, R"({"reason":"fence"})") == start_answer::kFenced);
  CHECK(AnswerOf(409, R"({"reason":"old"})") == start_answer::kStaleRun);
  CHECK(AnswerOf(409, R"({"reason":"late"})") == start_answer::kLeaseExpired);
  CHECK(AnswerOf(409, R"({"reason":"room"})") == start_answer::kNoResources);
  CHECK(AnswerOf(421, "") == start_answer::kOtherIncarnation);
  CHECK(AnswerOf(503, "") == start_answer::kUnhealthy);
  CHECK(AnswerOf(400, "") == start_answer::kInvalid);
  CHECK(AnswerOf(500, "") == start_answer::kUnknown);
  CHECK_EQUAL(1, *ReadStartAnswer({.headers = {}, .body = R"({"clock_ms":1})"}).clock_ms);
}

TEST(TargetJson, ReadsTheListsOfATarget) {
  absl::StatusOr<leased::target_report> report = ReadRenewal(
      R"({"clock_ms":482113,"born":5,"running":[["ab.0.1.17",2,"00",41]],
      "ended":[[58,"ab.0.1.9",1,"done",""],[59,"ab.0.1.8",1,"alone",""]]})");
  CHECK(report.ok());
  CHECK_EQUAL(482113, report->clock_ms);
  CHECK_EQUAL(5, report->start_time_ms);
  CHECK_EQUAL(17, report->running.at(0).task.index);
  CHECK_EQUAL(58, report->ended.at(0).number);
  CHECK(report->ended[0].kind == leased::end_kind::kDone);
  CHECK(report->ended[1].kind == leased::end_kind::kOther);
}

TEST(TargetJson, RejectsMalformedLists) {
  CHECK(!ReadRenewal("").ok());
  CHECK(!ReadRenewal(R"({"clock_ms":1})").ok());
  CHECK(!ReadRenewal(R"({"clock_ms":1,"running":[["x",1]],"ended":[]})").ok());
  CHECK(!ReadRenewal(R"({"clock_ms":1,"running":[],"ended":[[1]]})").ok());
}

TEST(TargetJson, ReadsAnAnnouncement) {
  auto announcement = ReadAnnouncement("i-7", kHeartbeat);
  CHECK(announcement.ok());
  STRCMP_EQUAL("i-7", announcement->id.c_str());
  STRCMP_EQUAL("north", announcement->domain.c_str());
  CHECK_EQUAL(16000, announcement->capacity.cpu);
  CHECK(announcement->start_time_ms == 1700000000000);
  CHECK(!announcement->draining);
}

TEST(TargetJson, AnAnnouncementRoundTripsThroughTheStore) {
  leased::target_announcement announced = *ReadAnnouncement("i-7", kHeartbeat);
  announced.draining = true;
  auto recalled = ReadAnnouncement("", WriteAnnouncement(announced));
  CHECK(recalled.ok());
  STRCMP_EQUAL("i-7", recalled->id.c_str());
  CHECK(recalled->draining);
  CHECK(recalled->capacity == announced.capacity);
  CHECK(recalled->start_time_ms == announced.start_time_ms);
  CHECK(announced.sequence > 0);
  CHECK(recalled->sequence == announced.sequence);
  CHECK(!recalled->clock_ms.has_value());
}

TEST(TargetJson, DistinguishesAHeartbeatFromADeparture) {
  auto heartbeat = ReadControlRequest({.path = "/-/Instances.Heartbeat/i-7", .body = kHeartbeat});
  CHECK(heartbeat.ok() && std::holds_alternative<leased::target_announcement>(*heartbeat));
  STRCMP_EQUAL("i-7", std::get<leased::target_announcement>(*heartbeat).id.c_str());
  auto departure = ReadControlRequest({.path = "/-/Instances.Deregister/i-7"});
  CHECK(departure.ok() && std::holds_alternative<leased::target_departure>(*departure));
  STRCMP_EQUAL("i-7", std::get<leased::target_departure>(*departure).id.c_str());
  CHECK(!std::get<leased::target_departure>(*departure).start_time_ms.has_value());
  CHECK(!ReadControlRequest({.path = "/elsewhere"}).ok());
  CHECK(!ReadControlRequest({.path = "/-/Instances.Heartbeat/i-7", .body = "{}"}).ok());
}

// Guards against TWICE: a late Deregister of an earlier incarnation ended the present one.
TEST(TargetJson, ADepartureTellsItsIncarnation) {
  auto read = ReadControlRequest({.path = "/-/Instances.Deregister/i-7", .body = kHeartbeat});
  CHECK(read.ok());
  auto announced = ReadAnnouncement("i-7", kHeartbeat);
  CHECK(announced->start_time_ms > 0);
  CHECK(std::get<leased::target_departure>(*read).start_time_ms == announced->start_time_ms);
  CHECK(!ReadControlRequest({.path = "/-/Instances.Deregister/i-7", .body = "]"}).ok());
  CHECK(
      !ReadControlRequest({.path = "/-/Instances.Deregister/i-7", .body = R"({"born":"x"})"}).ok());
}

TEST(TargetJson, RejectsAnIncompleteAnnouncement) {
  CHECK(!ReadAnnouncement("i-7", "").ok());
  CHECK(!ReadAnnouncement("i-7", "[]").ok());
  CHECK(!ReadAnnouncement("i-7", Without(kHeartbeat, R"("service":"lights",)")).ok());
  CHECK(!ReadAnnouncement("i-7", Without(kHeartbeat, R"("gpu":0)")).ok());
  CHECK(!ReadAnnouncement("i-7", Without(kHeartbeat, R"("state":"ready",)")).ok());
  std::string unknown_state = kHeartbeat;
  unknown_state.replace(unknown_state.find("ready"), 5, "fine!");
  CHECK(!ReadAnnouncement("i-7", unknown_state).ok());
}

}  // namespace wagtail::platform
