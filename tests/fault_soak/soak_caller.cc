#include "tests/fault_soak/soak_caller.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace wagtail::leased {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr unsigned kMostSends = 3;
constexpr duration kDeadline = std::chrono::milliseconds(2200);
/// As the platform's callers: a job without an answer is sent again after this.
constexpr duration kResend = std::chrono::milliseconds(1300);
constexpr duration kPause = std::chrono::milliseconds(40);
constexpr int kLeavesEarlyPercent = 8;

}  // namespace

soak_caller::soak_caller(uint64_t seed, const std::vector<loopback_address>& entries,
                         run_checker& watch)
    : random_(seed), watch_(watch) {
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

soak_caller::sending soak_caller::Send(const std::string& job, uint32_t tasks, bool patient,
                                       bool& completed) {
  open_connection& entry = *entries_[random_() % entries_.size()];
  bool leaves_early = !patient && random_() % 100 < kLeavesEarlyPercent;
  duration patience = leaves_early ? std::chrono::milliseconds(20 + random_() % 200)
                                   : kDeadline + std::chrono::milliseconds(200);
  auto answer = entry.Ask(JobRequest(job, tasks), patience);
  if (!answer.has_value()) {
    watch_.Unanswered();
    return sending::kNoAnswer;
  }
  if (answer->status == kUnavailable) {
    return sending::kRefused;
  }
  if (answer->status != kOk) {
    return sending::kNoAnswer;
  }
  completed = answer->body.find("completed") != std::string::npos;
  return sending::kEnded;
}

bool soak_caller::HandIn(bool patient) {
  std::string job = absl::StrFormat("%016x", random_());
  auto tasks = static_cast<uint32_t>(1 + random_() % 4);
  bool all_refused = true;
  for (unsigned sent = 0; sent < kMostSends && !ending_; ++sent) {
    bool completed = false;
    switch (Send(job, tasks, patient, completed)) {
      case sending::kEnded:
        if (completed) {
          watch_.Completed(job, tasks);
        } else {
          watch_.Failed();
        }
        return completed;
      case sending::kRefused:
        break;
      case sending::kNoAnswer:
        all_refused = false;
        break;
    }
    std::this_thread::sleep_for(kResend);
  }
  if (all_refused) {
    watch_.NeverRan(job);
  }
  return false;
}

void soak_caller::RunOnThread() {
  thread_ = std::jthread([this] {
    while (!ending_) {
      HandIn(false);
      std::this_thread::sleep_for(kPause);
    }
  });
}

void soak_caller::End() {
  ending_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace wagtail::leased
