#include "entry/entry_metrics.h"

#include <array>
#include <utility>

namespace wagtail {

namespace {

constexpr std::array kResponseBounds = {0.005, 0.01, 0.025, 0.05, 0.1,  0.25,
                                        0.5,   1.0,  2.5,   5.0,  10.0, 30.0};
constexpr std::array kRatioBounds = {1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0};

}  // namespace

entry_metrics::entry_metrics(metrics_registry& registry)
    : registry_(registry),
      answers_(registry.Counters("wagtail_jobs_answered_total",
                                 "Final answers given, by outcome and reason.")),
      refusals_(registry.Counters("wagtail_requests_refused_total",
                                  "Requests refused before any task could start.")),
      response_(registry
                    .Histograms("wagtail_job_response_seconds",
                                "Time from submission to the final answer.", kResponseBounds)
                    .Add({})),
      response_over_run_time_(
          registry
              .Histograms("wagtail_job_response_over_run_time_ratio",
                          "Response time of complete jobs over the run time of their longest "
                          "tasks, stage by stage.",
                          kRatioBounds)
              .Add({})) {}

void entry_metrics::OnAnswer(const job_answer& answer, duration response) {
  answers_
      .Add({{"outcome", std::string(ToString(answer.outcome))},
            {"reason", answer.reason.substr(0, answer.reason.find(':'))}})
      .Increment();
  response_.Observe(ToSeconds(response));
  if (answer.outcome == job_outcome::kComplete && answer.run_time > duration::zero()) {
    response_over_run_time_.Observe(ToSeconds(response) / ToSeconds(answer.run_time));
  }
}

void entry_metrics::OnRefusal(std::string_view reason) {
  refusals_.Add({{"reason", std::string(reason)}}).Increment();
}

void entry_metrics::ExportTotal(std::string_view name, std::string_view help, uint64_t total) {
  uint64_t& exported = exported_[std::string(name)];
  registry_.Counters(name, help).Add({}).Increment(static_cast<double>(total - exported));
  exported = total;
}

void entry_metrics::Update(const entry_metrics_snapshot& snapshot) {
  std::scoped_lock lock(mutex_);
  const dispatcher_counters& counters = snapshot.counters;
  ExportTotal("wagtail_jobs_accepted_total", "Jobs accepted.", counters.jobs_accepted);
  ExportTotal("wagtail_jobs_joined_total", "Submissions that joined a known job.",
              counters.jobs_joined);
  ExportTotal("wagtail_tasks_sent_total", "Tasks sent to targets' daemons.", counters.tasks_sent);
  ExportTotal("wagtail_tasks_refused_total", "Tasks that a daemon proved not to have started.",
              counters.tasks_refused);
  ExportTotal("wagtail_tasks_unsettled_total",
              "Tasks whose link was lost before their end was reported.", counters.tasks_unsettled);
  ExportTotal("wagtail_tasks_lost_total", "Tasks whose outcome can't be known.",
              counters.tasks_lost);
  auto set_gauge = [this](std::string_view name, std::string_view help, double value) {
    registry_.Gauges(name, help).Add({}).Set(value);
  };
  set_gauge("wagtail_jobs_in_progress", "Jobs without a final answer.",
            static_cast<double>(snapshot.jobs_in_progress));
  set_gauge("wagtail_waiting_tasks", "Tasks that wait for a target.",
            static_cast<double>(snapshot.waiting_tasks));
  set_gauge("wagtail_targets_linked", "Targets with an established link.",
            static_cast<double>(snapshot.targets_linked));
  set_gauge("wagtail_configuration_version", "Newest configuration version known.",
            static_cast<double>(snapshot.configuration_version));
  set_gauge("wagtail_configuration_in_force", "1 if all connected processes act on that version.",
            snapshot.in_force ? 1 : 0);
  set_gauge("wagtail_table_read_age_seconds",
            "Time since the last successful read of the table began; negative before the first.",
            snapshot.read_age_seconds);
}

}  // namespace wagtail
