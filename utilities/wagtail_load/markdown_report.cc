#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "wagtail_load/run_report.h"

namespace wagtail {

namespace {

std::string DistributionRow(std::string_view name, const distribution& values, int digits) {
  if (values.count == 0) {
    return absl::StrFormat("| %s | 0 | | | | | |\n", std::string(name));
  }
  return absl::StrFormat("| %s | %d | %.*f | %.*f | %.*f | %.*f | %.*f |\n", std::string(name),
                         values.count, digits, values.mean, digits, values.p50, digits, values.p90,
                         digits, values.p99, digits, values.max);
}

std::string CountsTable(std::string_view title, const std::vector<named_count>& counts) {
  std::string out = absl::StrFormat("| %s | jobs |\n|---|---|\n", std::string(title));
  for (const named_count& entry : counts) {
    if (entry.count > 0) {
      absl::StrAppendFormat(&out, "| %s | %d |\n", entry.name, entry.count);
    }
  }
  return out + "\n";
}

std::string CountersTable(const run_report& report) {
  if (report.counters.empty()) {
    return "";
  }
  std::string out =
      "\n| counter | growth | per completed task | pages missing |\n|---|---|---|---|\n";
  auto tasks = static_cast<double>(std::max<uint64_t>(1, report.totals.completed_tasks));
  for (const counter_growth& counter : report.counters) {
    absl::StrAppendFormat(&out, "| %s | %.10g | %.4f | %d |\n", counter.name, counter.growth,
                          counter.growth / tasks, counter.missing_pages);
  }
  return out;
}

std::string WindowText(const change_window& window) {
  std::string out = absl::StrFormat(
      "Window of the changes, second %.0f to %.0f: %.1f s of work offered, %.1f s completed",
      window.from_s, window.to_s, window.offered_work_s, window.completed_work_s);
  if (window.possible_work_s.value_or(0) > 0) {
    absl::StrAppendFormat(
        &out, ", %.1f s possible with the capacity left (completed/possible %.3f)",
        *window.possible_work_s, window.completed_work_s / *window.possible_work_s);
  }
  return out + ".\n";
}

}  // namespace

std::string ToMarkdown(const run_report& report) {
  const run_origin& origin = report.origin;
  std::string out = absl::StrFormat(
      "Scenario `%s` (workload %s), seed %d, wagtail-load %s, %s, `%s`\n\n", origin.scenario,
      origin.workload, origin.seed, origin.version, origin.started_at, origin.command);
  absl::StrAppendFormat(
      &out,
      "%d jobs of %d tasks; complete: %d jobs of %d tasks; work offered %.1f s, completed %.1f s; "
      "resubmitted on purpose %d jobs, after no answer %d times, differing answers %d.\n\n",
      report.totals.jobs, report.totals.tasks, report.totals.completed_jobs,
      report.totals.completed_tasks, report.totals.offered_work_s, report.totals.completed_work_s,
      report.totals.resubmitted_jobs, report.totals.lost_resubmissions,
      report.totals.differing_answers);
  absl::StrAppend(&out, CountsTable("outcome", report.outcomes));
  if (!report.reasons.empty()) {
    absl::StrAppend(&out, CountsTable("reason of jobs not completed", report.reasons));
  }
  absl::StrAppend(&out, "| measure | jobs | mean | p50 | p90 | p99 | max |\n",
                  "|---|---|---|---|---|---|---|\n",
                  DistributionRow("response, ms", report.response_ms, 1),
                  DistributionRow("response / ideal", report.response_over_ideal, 3),
                  DistributionRow("time to a failure, ms", report.failure_ms, 1),
                  DistributionRow("send delay of the tool, ms", report.send_delay_ms, 1));
  if (report.window.has_value()) {
    absl::StrAppend(&out,
                    DistributionRow("response / ideal, arrived in the window of the changes",
                                    report.window->response_over_ideal, 3),
                    "\n", WindowText(*report.window));
  }
  out += CountersTable(report);
  for (const change_record& change : report.changes) {
    absl::StrAppendFormat(&out, "\n- %.1f s: %s %s, status %d, answered at %.1f s",
                          change.planned_ms / 1000, change.kind, change.subject, change.status,
                          change.answered_ms / 1000);
  }
  return out + (report.changes.empty() ? "" : "\n");
}

}  // namespace wagtail
