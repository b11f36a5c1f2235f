#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

/// @file
/// All figures of a run, and where they come from.

namespace wagtail {

/// What a saved result must tell to be repeated.
struct run_origin {
  std::string scenario;
  std::string workload;  ///< digest of the workload
  uint64_t seed = 0;
  std::string version;  ///< of the tool
  std::string command;
  std::string started_at;  ///< RFC 3339, UTC
};

/// Summary of many values.
struct distribution {
  uint64_t count = 0;
  double mean = 0;
  double p50 = 0;
  double p90 = 0;
  double p99 = 0;
  double max = 0;
};

struct named_count {
  std::string name;
  uint64_t count = 0;
};

struct run_totals {
  uint64_t jobs = 0;
  uint64_t tasks = 0;
  uint64_t completed_jobs = 0;
  uint64_t completed_tasks = 0;
  double offered_work_s = 0;    ///< nominal task seconds
  double completed_work_s = 0;  ///< nominal task seconds
  uint64_t resubmitted_jobs = 0;
  uint64_t lost_resubmissions = 0;  ///< submissions repeated since no answer came
  uint64_t differing_answers = 0;   ///< resubmissions that got another answer
};

/// One second of the run.
struct second_figures {
  uint32_t second = 0;
  uint64_t arrived_jobs = 0;    ///< by schedule
  uint64_t completed_jobs = 0;  ///< by the time of the answer
  uint64_t failed_jobs = 0;     ///< by the time of the answer
  uint64_t completed_tasks = 0;
  double arrived_work_s = 0;
  double earliest_work_s = 0;  ///< by the time that each job would end if nothing waited
  double completed_work_s = 0;
  distribution response_ms = {};  ///< of complete jobs that arrived in this second
};

/// How much a counter of the dispatcher grew during the run.
struct counter_growth {
  std::string name;
  double growth = 0;           ///< over all processes asked
  uint32_t missing_pages = 0;  ///< processes that did not tell at both ends of the run
};

/// A change that the operator made.
struct change_record {
  std::string kind;
  std::string subject;
  double planned_ms = 0;
  double answered_ms = 0;
  int status = 0;           ///< HTTP status; 0 when there was no answer
  std::string answer = {};  ///< body of the answer, shortened, or the error
};

/// From the first change until some seconds after the last one.
struct change_window {
  double from_s = 0;
  double to_s = 0;
  double offered_work_s = 0;
  double completed_work_s = 0;
  /// What the capacity left in the window could have done of the work at hand, no job ending before
  /// its ideal response time; absent when the scenario names no capacities.
  std::optional<double> possible_work_s = {};
  distribution response_over_ideal = {};  ///< of complete jobs that arrived in the window
};

struct run_report {
  run_origin origin;
  run_totals totals;
  std::vector<named_count> outcomes;
  std::vector<named_count> reasons;  ///< of jobs that did not complete
  distribution response_ms;          ///< of complete jobs, from the scheduled time
  distribution response_over_ideal;  ///< of complete jobs
  distribution failure_ms;           ///< until the answer of jobs that did not complete
  distribution send_delay_ms;        ///< how late the tool itself was; large: too few workers
  std::vector<second_figures> seconds;
  std::vector<counter_growth> counters;
  std::vector<change_record> changes;
  std::optional<change_window> window;
};

/// @return the report as JSON text with every figure
std::string ToJsonText(const run_report& report);

/// @return the report in `text`, or load_error::kBadResult
absl::StatusOr<run_report> ParseReport(std::string_view text, std::string_view file_name);

/// @return the main figures as a Markdown table
std::string ToMarkdown(const run_report& report);

}  // namespace wagtail
