#include "tests/fault_soak/soak_caller.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace wagtail::leased {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr unsigned kMaxAttempts = 3;
constexpr duration kDeadline = std::chrono::milliseconds(2200);
/// Same as the platform's callers: an unanswered job is sent again after this.
constexpr duration kResendInterval = std::chrono::milliseconds(1300);
constexpr duration kJobInterval = std::chrono::milliseconds(40);
constexpr int kEarlyDisconnectPercent = 8;

}  // namespace

soak_caller::soak_caller(uint64_t seed, const std::vector<loopback_address>& entries,
                         run_checker& checker)
    : random_(seed), checker_(checker) {
  for (const loopback_address& entry : entries) {
    entries_.push_back(std::make_unique<open_connection>(entry));
  }
}

std::string JobRequest(const std::string& job, uint32_t tasks) {
  std::string body =
      absl::StrCat(R"({"best_effort":true,"job_spec":"on","steps":[{"count":)", tasks, R"(,"cpu":)",
                   kSoakTaskCpu, R"(,"mem_mb":10,"gpu":0,"estimate_ms":150}]})");
  return absl::StrCat("POST ", kSoakPath, job, " HTTP/1.1\r\nHost: ", kSoakHost,
                      "\r\nDeadline-Ms: ", ToMilliseconds(kDeadline),
                      "\r\nContent-Type: application/json\r\nContent-Length: ", body.size(),
                      "\r\n\r\n", body);
}

soak_caller::attempt_result soak_caller::Send(const std::string& job, uint32_t tasks,
                                              bool until_answered, bool& completed) {
  open_connection& entry = *entries_[random_() % entries_.size()];
  bool disconnects_early = !until_answered && random_() % 100 < kEarlyDisconnectPercent;
  duration timeout = disconnects_early ? std::chrono::milliseconds(20 + random_() % 200)
                                       : kDeadline + std::chrono::milliseconds(200);
  auto answer = entry.SendRequest(JobRequest(job, tasks), timeout);
  if (!answer.has_value()) {
    checker_.OnUnanswered();
    return attempt_result::kNoAnswer;
  }
  if (answer->status == kUnavailable) {
    return attempt_result::kRefused;
  }
  if (answer->status != kOk) {
    return attempt_result::kNoAnswer;
  }
  completed = answer->body.find("completed") != std::string::npos;
  return attempt_result::kEnded;
}

bool soak_caller::SubmitJob(bool until_answered) {
  std::string job = absl::StrFormat("%016x", random_());
  auto tasks = static_cast<uint32_t>(1 + random_() % 4);
  bool all_refused = true;
  for (unsigned attempt = 0; attempt < kMaxAttempts && !stopping_; ++attempt) {
    bool completed = false;
    switch (Send(job, tasks, until_answered, completed)) {
      case attempt_result::kEnded:
        if (completed) {
          checker_.OnJobCompleted(job, tasks);
        } else {
          checker_.OnJobFailed();
        }
        return completed;
      case attempt_result::kRefused:
        break;
      case attempt_result::kNoAnswer:
        all_refused = false;
        break;
    }
    std::this_thread::sleep_for(kResendInterval);
  }
  if (all_refused) {
    checker_.OnJobRefused(job);
  }
  return false;
}

void soak_caller::RunOnThread() {
  thread_ = std::jthread([this] {
    while (!stopping_) {
      SubmitJob(false);
      std::this_thread::sleep_for(kJobInterval);
    }
  });
}

void soak_caller::Stop() {
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace wagtail::leased
