#include "tests/untrusted_clients/crowd_jobs.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "tests/fault_soak/soak_caller.h"
#include "tests/untrusted_clients/crowd_requests.h"

namespace wagtail::leased {

std::string JobWithDeadline(size_t id, const std::string& steps, int64_t deadline_ms) {
  std::string body = absl::StrCat(R"({"best_effort":true,"job_spec":"on","steps":[)", steps, "]}");
  std::string path = kSoakPath + absl::StrFormat("%016x", id);
  return Head(path,
              absl::StrCat("Deadline-Ms: ", deadline_ms, "\r\nContent-Length: ", body.size())) +
         body;
}

crowd_script JobsThatWait(const std::string& steps, size_t first_id) {
  return {.head_of = [=](size_t connection) {
    return JobWithDeadline(first_id + connection, steps, kDayMs);
  }};
}

std::string FirstStep(int64_t estimate_ms) {
  return absl::StrCat(R"({"count":1,"cpu":1,"estimate_ms":)", estimate_ms, "}");
}

std::string StepOfLongTasks(size_t count) {
  return absl::StrCat(R"(,{"count":)", count, R"(,"cpu":19000,"after":[0]})");
}

crowd_script JobsThatOvertake() {
  return {.head_of = [](size_t connection) {
    constexpr int64_t kStepMs = 1000;
    int64_t estimate_ms = kDayMs - kStepMs * static_cast<int64_t>(connection);
    return JobWithDeadline(connection, FirstStep(estimate_ms) + StepOfLongTasks(kTasksOfASmallJob),
                           kDayMs);
  }};
}

std::string StepsThatWait(size_t tasks) {
  return absl::StrCat(FirstStep(), R"(,{"count":)", tasks,
                      R"(,"cpu":6000,"estimate_ms":86400000,"after":[0]})");
}

std::string StepOfTinyTasks() {
  return absl::StrCat(R"({"count":)", kMaxTasks, R"(,"cpu":1,"estimate_ms":86400000})");
}

std::string StepsOfOneTask(size_t count) {
  std::string steps = FirstStep();
  for (size_t number = 1; number < count; ++number) {
    steps += R"(,{"count":1,"cpu":36000,"after":[0]})";
  }
  return steps;
}

std::string StepsThatLeaveRoom(int64_t estimate_ms) {
  return absl::StrCat(FirstStep(), R"(,{"count":1,"cpu":10000,"after":[0],"estimate_ms":)",
                      estimate_ms, "}");
}

std::string EmptyContainers(size_t size) {
  std::string text = "[[]";
  while (text.size() + 4 < size) {
    text += ",[]";
  }
  return text + "]";
}

}  // namespace wagtail::leased
