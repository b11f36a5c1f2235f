#include "entry/job_body.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/try.h"
#include "configuration/configuration_text.h"
#include "configuration/stage_order.h"
#include "settings/settings_text.h"

namespace wagtail {

namespace {

constexpr duration kMinDeadline = std::chrono::milliseconds(1);
constexpr duration kMaxDeadline = std::chrono::minutes(2);

// Services of the job and everything that they depend on, however indirectly.
std::set<std::string> WithDependencies(const std::vector<std::string>& used,
                                       const configuration& current) {
  std::set<std::string> all;
  std::vector<std::string> open = used;
  while (!open.empty()) {
    std::string name = std::move(open.back());
    open.pop_back();
    auto service = current.services.find(name);
    if (service == current.services.end() || !all.insert(name).second) {
      continue;
    }
    std::ranges::copy(service->second.depends_on, std::back_inserter(open));
  }
  return all;
}

}  // namespace

absl::StatusOr<job_body> ParseJobBody(std::string_view text) {
  job_body body;
  TRY(ReadSettings(text, "job", [&body](object_reader& job) {
    if (job.Has("deadline_ms")) {
      body.deadline = job.Milliseconds("deadline_ms", kMaxDeadline, {kMinDeadline, kMaxDeadline});
    }
    job.Objects("tasks", kMaxTasksPerJob, [&body](object_reader& task) {
      text_rule any{.min_bytes = 0, .max_bytes = kMaxTaskBytes, .allowed = "up to 64 KiB"};
      body.tasks.push_back({.service = task.RequiredText("service", NameRule()),
                            .body = task.Text("body", "", any)});
    });
    if (body.tasks.empty()) {
      job.Refuse("tasks", absl::StrCat("1 to ", kMaxTasksPerJob, " tasks"));
    }
  }));
  return body;
}

absl::Status FillSubmission(job_submission& submission, job_body body, const configuration& current,
                            instant now) {
  std::vector<std::string> used;
  std::ranges::transform(body.tasks, std::back_inserter(used), &job_body::task::service);
  std::vector<job_stage> stages = TRY(StageOrder(current, used));
  std::map<std::string, uint32_t, std::less<>> stage_of;
  for (uint32_t stage = 0; stage < stages.size(); ++stage) {
    for (const std::string& service : stages[stage].services) {
      stage_of[service] = stage;
    }
  }
  duration deadline{};
  for (job_body::task& task : body.tasks) {
    const service_configuration& service = current.services.find(task.service)->second;
    deadline = std::max(deadline, service.job_deadline);
    submission.tasks.push_back({.service = task.service,
                                .body = std::move(task.body),
                                .stage = stage_of.at(task.service),
                                .timeout = service.task_timeout});
  }
  for (const std::string& name : WithDependencies(used, current)) {
    submission.needs.push_back(
        {.service = name, .requirements = current.services.find(name)->second.requires_of_target});
  }
  submission.deadline = now + body.deadline.value_or(deadline);
  return absl::OkStatus();
}

}  // namespace wagtail
