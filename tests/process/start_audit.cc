#include "tests/process/start_audit.h"

#include <set>

#include "tests/process/test_cluster.h"

namespace wagtail {

void start_audit::AddTarget(const nlohmann::json& counters) {
  if (!counters.contains("tasks")) {
    return;
  }
  for (const auto& [task, starts] : counters["tasks"].items()) {
    starts_[task] += starts.get<uint64_t>();
  }
}

std::string start_audit::FindDuplicateStart() const {
  for (const auto& [task, starts] : starts_) {
    if (starts > 1) {
      return "task " + task + " was started " + std::to_string(starts) + " times";
    }
  }
  return "";
}

uint64_t start_audit::StartsOf(const std::string& job) const {
  uint64_t starts = 0;
  std::string prefix = job + "/";
  for (auto task = starts_.lower_bound(prefix);
       task != starts_.end() && task->first.starts_with(prefix); ++task) {
    starts += task->second;
  }
  return starts;
}

std::string start_audit::FindContradiction(const final_answer& answer) const {
  absl::StatusOr<job_id> id = ids_.Decode(answer.id);
  if (!id.ok()) {
    return "";
  }
  uint64_t starts = StartsOf(ToString(id->key));
  if (answer.outcome() == "failed_not_run" && starts > 0) {
    return "answered not run with " + std::to_string(starts) + " starts: " + answer.body;
  }
  if (answer.outcome() != "complete") {
    return "";
  }
  std::set<uint64_t> indexes;
  for (const nlohmann::json& result : answer.json.at("results")) {
    indexes.insert(result.at("index").get<uint64_t>());
  }
  if (indexes.size() != answer.tasks || starts != answer.tasks) {
    return "answered complete with " + std::to_string(starts) + " starts of " +
           std::to_string(answer.tasks) + " tasks: " + answer.body;
  }
  return "";
}

}  // namespace wagtail
