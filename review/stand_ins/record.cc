#include "record.h"

#include <algorithm>
#include <chrono>

namespace review {
namespace {

std::string RunName(const std::string& task, uint32_t run, const std::string& worker) {
  std::string name = "task ";
  name.append(task).append(" run ").append(std::to_string(run)).append(" on ").append(worker);
  return name;
}

}  // namespace

int64_t NowMs() {
  static const auto kBegin = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               kBegin)
      .count();
}

void record::WriteLocked(const std::string& line) {
  file_ << NowMs() << " ms  " << line << std::endl;
}

void record::Write(const std::string& line) {
  std::lock_guard lock(mutex_);
  WriteLocked(line);
}

void record::OnRunStarted(const std::string& task, uint32_t run, const std::string& worker,
                          const std::string& job_spec) {
  std::lock_guard lock(mutex_);
  WriteLocked("run begins: " + RunName(task, run, worker) + ", job_spec \"" + job_spec + "\"");
  ++starts_[task];
  for (const running& other : running_[task]) {
    broken_ = true;
    WriteLocked("RULE BROKEN, TWICE: " + RunName(task, run, worker) + " begins, " +
                RunName(task, other.run, other.worker) + " has begun at " +
                std::to_string(other.since) + " ms and has not ended");
  }
  running_[task].push_back({.run = run, .worker = worker, .since = NowMs()});
}

void record::OnRunEnded(const std::string& task, uint32_t run, const std::string& worker,
                        const std::string& how) {
  std::lock_guard lock(mutex_);
  WriteLocked("run ends: " + RunName(task, run, worker) + ", " + how);
  std::erase_if(running_[task],
                [&](const running& each) { return each.run == run && each.worker == worker; });
}

void record::Break(const std::string& line) {
  std::lock_guard lock(mutex_);
  broken_ = true;
  WriteLocked("RULE BROKEN, " + line);
}

bool record::IsBroken() {
  std::lock_guard lock(mutex_);
  return broken_;
}

size_t record::Starts(const std::string& task) {
  std::lock_guard lock(mutex_);
  return starts_[task];
}

}  // namespace review
