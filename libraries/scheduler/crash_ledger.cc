#include "scheduler/crash_ledger.h"

#include <algorithm>

namespace wagtail::leased {

crash_ledger::record crash_ledger::OnCrash(const task_crash& crash, instant now) {
  Forget(now);
  record& known = tasks_[crash.task];
  known.suspected += crash.suspected ? 1 : 0;
  ++known.crashes;
  known.last = now;
  return known;
}

bool crash_ledger::IsExhausted(const record& known) const {
  return known.suspected >= options_.max_suspected || known.crashes >= options_.max_crashes;
}

bool crash_ledger::IsSuspected(const task_ref& task) const {
  auto found = tasks_.find(task);
  return found != tasks_.end() && found->second.suspected > 0;
}

bool crash_ledger::HasExhaustedTask(const std::string& job) const {
  auto first = tasks_.lower_bound({.job = job});
  auto last =
      std::find_if(first, tasks_.end(), [&job](const auto& item) { return item.first.job != job; });
  return std::any_of(first, last, [this](const auto& item) { return IsExhausted(item.second); });
}

void crash_ledger::Forget(instant now) {
  std::erase_if(tasks_, [&](const auto& item) { return now - item.second.last > options_.memory; });
  if (tasks_.size() >= options_.max_tasks) {
    tasks_.erase(
        std::ranges::min_element(tasks_, {}, [](const auto& item) { return item.second.last; }));
  }
}

}  // namespace wagtail::leased
