#include "wagtail_load/statistics.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <utility>

#include "base/verify.h"

namespace wagtail {

namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr size_t kMaxReasons = 50;

double ToFractionalMilliseconds(duration span) { return ToSeconds(span) * kMillisecondsPerSecond; }

size_t SecondOf(duration time) {
  return static_cast<size_t>(
      std::max<int64_t>(0, std::chrono::duration_cast<std::chrono::seconds>(time).count()));
}

double AtRank(const std::vector<double>& sorted, double share) {
  auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::max<size_t>(rank, 1) - 1];
}

bool WasAnswered(const job_record& record) {
  return record.outcome != submission_outcome::kNotSent;
}
bool IsComplete(const job_record& record) {
  return record.outcome == submission_outcome::kComplete;
}

/// Work per second that the domains which have not left can do, at the start of `second`.
double CapacityAt(const load_scenario& plan, size_t second) {
  std::set<std::string> gone;
  for (const operator_action& action : plan.actions) {
    if (SecondOf(action.at) > second) {
      break;
    }
    if (action.kind == operator_change::kLeaveDomain) {
      gone.insert(action.subject);
    } else {
      gone.erase(action.subject);
    }
  }
  return std::accumulate(plan.domains.begin(), plan.domains.end(), 0.0,
                         [&](double sum, const domain_capacity& domain) {
                           return sum + (gone.contains(domain.name) ? 0 : domain.work_per_second);
                         });
}

std::optional<change_window> WindowOf(const load_scenario& plan,
                                      std::span<const second_figures> seconds) {
  if (plan.actions.empty()) {
    return std::nullopt;
  }
  size_t from = SecondOf(plan.actions.front().at);
  size_t to = std::min(seconds.size(),
                       SecondOf(std::min(plan.length, plan.actions.back().at + kWindowTail)));
  change_window window{.from_s = static_cast<double>(from), .to_s = static_cast<double>(to)};
  double waiting = 0;
  double possible = 0;
  for (size_t second = 0; second < to; ++second) {
    const second_figures& figures = seconds[second];
    waiting += figures.earliest_work_s;
    double done = std::min(waiting, CapacityAt(plan, second));
    waiting -= done;
    if (second >= from) {
      window.offered_work_s += figures.arrived_work_s;
      window.completed_work_s += figures.completed_work_s;
      possible += done;
    }
  }
  if (!plan.domains.empty()) {
    window.possible_work_s = possible;
  }
  return window;
}

/// Gathers the figures of a run job by job.
class summary {
 public:
  explicit summary(const load_scenario& plan) : plan_(plan) {}

  void Add(const planned_job& job, const job_record& record) {
    CountTotals(job, record);
    second_figures& arrival = At(SecondOf(job.at));
    ++arrival.arrived_jobs;
    arrival.arrived_work_s += WorkOf(job);
    At(SecondOf(job.at + IdealResponse(job, plan_.ideal))).earliest_work_s += WorkOf(job);
    if (!WasAnswered(record)) {
      return;
    }
    send_delays_.push_back(ToFractionalMilliseconds(record.sent - job.at));
    double response = ToFractionalMilliseconds(record.finished - job.at);
    if (!IsComplete(record)) {
      failures_.push_back(response);
      ++At(SecondOf(record.finished)).failed_jobs;
      return;
    }
    double ideal = ToFractionalMilliseconds(IdealResponse(job, plan_.ideal));
    responses_.push_back(response);
    double ratio = response / std::max(ideal, 0.001);
    ratios_.push_back(ratio);
    ratios_by_second_[SecondOf(job.at)].push_back(ratio);
    responses_by_second_[SecondOf(job.at)].push_back(response);
    second_figures& answer = At(SecondOf(record.finished));
    ++answer.completed_jobs;
    answer.completed_tasks += job.tasks.size();
    answer.completed_work_s += WorkOf(job);
  }

  run_report Finish() {
    run_report report;
    report.window = WindowOf(plan_, seconds_);
    if (report.window.has_value()) {
      report.window->response_over_ideal = Describe(RatiosIn(*report.window));
    }
    report.totals = totals_;
    for (submission_outcome outcome : kSubmissionOutcomes) {
      report.outcomes.push_back(
          {.name = std::string(ToText(outcome)), .count = outcomes_[outcome]});
    }
    for (const auto& [reason, count] : reasons_) {
      report.reasons.push_back({.name = reason, .count = count});
    }
    report.response_ms = Describe(std::move(responses_));
    report.response_over_ideal = Describe(std::move(ratios_));
    report.failure_ms = Describe(std::move(failures_));
    report.send_delay_ms = Describe(std::move(send_delays_));
    for (auto& [second, responses] : responses_by_second_) {
      At(second).response_ms = Describe(std::move(responses));
    }
    report.seconds = std::move(seconds_);
    return report;
  }

 private:
  void CountTotals(const planned_job& job, const job_record& record) {
    ++totals_.jobs;
    totals_.tasks += job.tasks.size();
    totals_.offered_work_s += WorkOf(job);
    totals_.resubmitted_jobs += job.resubmitted ? 1 : 0;
    totals_.lost_resubmissions += record.resubmissions;
    totals_.differing_answers += record.answers_differ ? 1 : 0;
    ++outcomes_[record.outcome];
    if (IsComplete(record)) {
      ++totals_.completed_jobs;
      totals_.completed_tasks += job.tasks.size();
      totals_.completed_work_s += WorkOf(job);
      return;
    }
    bool known = reasons_.contains(record.reason) || reasons_.size() < kMaxReasons;
    ++reasons_[known ? record.reason : "others"];
  }

  std::vector<double> RatiosIn(const change_window& window) const {
    std::vector<double> ratios;
    for (const auto& [second, in_second] : ratios_by_second_) {
      auto start = static_cast<double>(second);
      if (start >= window.from_s && start < window.to_s) {
        ratios.insert(ratios.end(), in_second.begin(), in_second.end());
      }
    }
    return ratios;
  }

  second_figures& At(size_t second) {
    while (seconds_.size() <= second) {
      seconds_.push_back({.second = static_cast<uint32_t>(seconds_.size())});
    }
    return seconds_[second];
  }

  const load_scenario& plan_;
  run_totals totals_;
  std::map<submission_outcome, uint64_t> outcomes_;
  std::map<std::string, uint64_t> reasons_;
  std::vector<double> responses_;
  std::vector<double> ratios_;
  std::vector<double> failures_;
  std::vector<double> send_delays_;
  std::map<size_t, std::vector<double>> responses_by_second_;
  std::map<size_t, std::vector<double>> ratios_by_second_;
  std::vector<second_figures> seconds_;
};

}  // namespace

distribution Describe(std::vector<double> values) {
  if (values.empty()) {
    return {};
  }
  std::ranges::sort(values);
  double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return {.count = values.size(),
          .mean = sum / static_cast<double>(values.size()),
          .p50 = AtRank(values, 0.50),
          .p90 = AtRank(values, 0.90),
          .p99 = AtRank(values, 0.99),
          .max = values.back()};
}

run_report Summarise(const load_scenario& plan, std::span<const planned_job> jobs,
                     std::span<const job_record> records, std::vector<change_record> changes) {
  VERIFY(jobs.size() == records.size());
  summary gathered(plan);
  for (size_t i = 0; i < jobs.size(); ++i) {
    gathered.Add(jobs[i], records[i]);
  }
  run_report report = gathered.Finish();
  report.changes = std::move(changes);
  return report;
}

}  // namespace wagtail
