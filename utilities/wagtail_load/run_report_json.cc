#include <algorithm>
#include <nlohmann/json.hpp>

#include "wagtail_load/load_error.h"
#include "wagtail_load/run_report.h"

// The library looks for to_json and from_json beside the types, under these names.

namespace wagtail {

namespace {

constexpr std::string_view kFormatName = "wagtail-load-result";
constexpr int kFormatVersion = 1;

}  // namespace

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(run_origin, scenario, workload, seed, version, command,
                                   started_at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(distribution, count, mean, p50, p90, p99, max)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(named_count, name, count)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(run_totals, jobs, tasks, completed_jobs, completed_tasks,
                                   offered_work_s, completed_work_s, resubmitted_jobs,
                                   lost_resubmissions, differing_answers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(second_figures, second, arrived_jobs, completed_jobs,
                                   failed_jobs, completed_tasks, arrived_work_s, earliest_work_s,
                                   completed_work_s, response_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(counter_growth, name, growth, missing_pages)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(change_record, kind, subject, planned_ms, answered_ms, status,
                                   answer)

static void to_json(nlohmann::json& out, const change_window& window) {
  out = {{"from_s", window.from_s},
         {"to_s", window.to_s},
         {"offered_work_s", window.offered_work_s},
         {"completed_work_s", window.completed_work_s},
         {"response_over_ideal", window.response_over_ideal}};
  if (window.possible_work_s.has_value()) {
    out["possible_work_s"] = *window.possible_work_s;
  }
}

static void from_json(const nlohmann::json& in, change_window& window) {
  in.at("from_s").get_to(window.from_s);
  in.at("to_s").get_to(window.to_s);
  in.at("offered_work_s").get_to(window.offered_work_s);
  in.at("completed_work_s").get_to(window.completed_work_s);
  in.at("response_over_ideal").get_to(window.response_over_ideal);
  if (in.contains("possible_work_s")) {
    window.possible_work_s = in.at("possible_work_s").get<double>();
  }
}

static void to_json(nlohmann::json& out, const run_report& report) {
  out = {{"format", kFormatName},
         {"format_version", kFormatVersion},
         {"origin", report.origin},
         {"totals", report.totals},
         {"outcomes", report.outcomes},
         {"reasons", report.reasons},
         {"response_ms", report.response_ms},
         {"response_over_ideal", report.response_over_ideal},
         {"failure_ms", report.failure_ms},
         {"send_delay_ms", report.send_delay_ms},
         {"seconds", report.seconds},
         {"counters", report.counters},
         {"changes", report.changes}};
  if (report.window.has_value()) {
    out["window"] = *report.window;
  }
}

static void from_json(const nlohmann::json& in, run_report& report) {
  in.at("origin").get_to(report.origin);
  in.at("totals").get_to(report.totals);
  in.at("outcomes").get_to(report.outcomes);
  in.at("reasons").get_to(report.reasons);
  in.at("response_ms").get_to(report.response_ms);
  in.at("response_over_ideal").get_to(report.response_over_ideal);
  in.at("failure_ms").get_to(report.failure_ms);
  in.at("send_delay_ms").get_to(report.send_delay_ms);
  in.at("seconds").get_to(report.seconds);
  in.at("counters").get_to(report.counters);
  in.at("changes").get_to(report.changes);
  if (in.contains("window")) {
    report.window = in.at("window").get<change_window>();
  }
}

std::string ToJsonText(const run_report& report) {
  constexpr int kIndent = 2;
  return nlohmann::json(report).dump(kIndent, ' ', false,
                                     nlohmann::json::error_handler_t::replace) +
         "\n";
}

absl::StatusOr<run_report> ParseReport(std::string_view text, std::string_view file_name) {
  try {
    auto json = nlohmann::json::parse(text);
    if (json.at("format") != kFormatName || json.at("format_version") != kFormatVersion) {
      return MakeError(load_error::kBadResult,
                       std::string(file_name) + ": not a result of this version of wagtail-load");
    }
    return json.get<run_report>();
  } catch (const nlohmann::json::exception& error) {
    return MakeError(load_error::kBadResult,
                     std::string(file_name) + ": not a result of wagtail-load: " + error.what());
  }
}

}  // namespace wagtail
