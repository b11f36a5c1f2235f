#include "tests/fault_soak/run_checker.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace wagtail::leased {
namespace {

std::string Name(const task_ref& task) {
  return task.job + "." + std::to_string(task.step) + "." + std::to_string(task.index);
}

}  // namespace

void run_checker::Began(const task_ref& task, const std::string& target) {
  std::lock_guard lock(mutex_);
  ++counts_.runs;
  ++begun_at_[target];
  begun_.insert(task);
  begun_jobs_.insert(task.job);
  std::map<std::string, std::string>& places = running_[task];
  for (const auto& [other, since] : places) {
    Add(absl::StrCat("two runs at once: ", Name(task), " at ", target, " and, since ", since,
                     ", at ", other));
  }
  places[target] = Now();
}

void run_checker::Over(const task_ref& task, const std::string& target) {
  std::lock_guard lock(mutex_);
  running_[task].erase(target);
}

void run_checker::Completed(const std::string& job, uint32_t tasks) {
  std::lock_guard lock(mutex_);
  ++counts_.completed;
  for (uint32_t index = 0; index < tasks; ++index) {
    task_ref task{.job = job, .step = 0, .index = index};
    if (!begun_.contains(task)) {
      Add("told as completed, and never started: " + Name(task));
    }
  }
}

void run_checker::NeverRan(const std::string& job) {
  std::lock_guard lock(mutex_);
  ++counts_.refused;
  never_ran_.insert(job);
}

void run_checker::Count(unsigned counts::*which) {
  std::lock_guard lock(mutex_);
  ++(counts_.*which);
}

void run_checker::Broken(const std::string& what) {
  std::lock_guard lock(mutex_);
  Add(what);
}

void run_checker::Add(const std::string& what) { broken_.push_back(Now() + " " + what); }

std::string run_checker::Now() {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::Now(), absl::UTCTimeZone());
}

void run_checker::CheckAtEnd() {
  std::lock_guard lock(mutex_);
  for (const std::string& job : never_ran_) {
    if (begun_jobs_.contains(job)) {
      Add("refused as not run, and started: " + job);
    }
  }
}

std::vector<std::string> run_checker::broken() const {
  std::lock_guard lock(mutex_);
  return broken_;
}

run_checker::counts run_checker::seen() const {
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
