#include "tests/fault_soak/run_checker.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace wagtail::leased {
namespace {

std::string TaskName(const task_ref& task) {
  return task.job + "." + std::to_string(task.step) + "." + std::to_string(task.index);
}

}  // namespace

void run_checker::OnRunStarted(const task_ref& task, const std::string& target) {
  std::lock_guard lock(mutex_);
  ++counts_.runs;
  ++begun_at_[target];
  begun_.insert(task);
  begun_jobs_.insert(task.job);
  std::map<std::string, std::string>& locations = running_[task];
  for (const auto& [other, since] : locations) {
    AddViolation(absl::StrCat("two runs at once: ", TaskName(task), " at ", target, " and, since ",
                              since, ", at ", other));
  }
  locations[target] = Now();
}

void run_checker::OnRunEnded(const task_ref& task, const std::string& target) {
  std::lock_guard lock(mutex_);
  running_[task].erase(target);
}

void run_checker::OnJobCompleted(const std::string& job, uint32_t tasks) {
  std::lock_guard lock(mutex_);
  ++counts_.completed;
  for (uint32_t index = 0; index < tasks; ++index) {
    task_ref task{.job = job, .step = 0, .index = index};
    if (!begun_.contains(task)) {
      AddViolation("reported as completed, but never started: " + TaskName(task));
    }
  }
}

void run_checker::OnJobRefused(const std::string& job) {
  std::lock_guard lock(mutex_);
  ++counts_.refused;
  refused_jobs_.insert(job);
}

void run_checker::Count(unsigned counts::*which) {
  std::lock_guard lock(mutex_);
  ++(counts_.*which);
}

void run_checker::ReportViolation(const std::string& what) {
  std::lock_guard lock(mutex_);
  AddViolation(what);
}

void run_checker::AddViolation(const std::string& what) {
  violations_.push_back(Now() + " " + what);
}

std::string run_checker::Now() {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::Now(), absl::UTCTimeZone());
}

void run_checker::CheckAtEnd() {
  std::lock_guard lock(mutex_);
  for (const std::string& job : refused_jobs_) {
    if (begun_jobs_.contains(job)) {
      AddViolation("refused as not run, but started: " + job);
    }
  }
}

std::vector<std::string> run_checker::violations() const {
  std::lock_guard lock(mutex_);
  return violations_;
}

run_checker::counts run_checker::totals() const {
  std::lock_guard lock(mutex_);
  return counts_;
}

unsigned run_checker::BegunAt(const std::string& prefix) const {
  std::lock_guard lock(mutex_);
  unsigned count = 0;
  for (const auto& [target, runs] : begun_at_) {
    count += target.starts_with(prefix) ? runs : 0;
  }
  return count;
}

}  // namespace wagtail::leased
