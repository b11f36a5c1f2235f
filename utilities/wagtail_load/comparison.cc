#include "wagtail_load/comparison.h"

#include <algorithm>
#include <array>

#include "absl/strings/str_format.h"
#include "base/try.h"
#include "wagtail_load/load_error.h"

namespace wagtail {

namespace {

struct compared_member {
  std::string_view name;
  double distribution::*value;
};

constexpr std::array kMembers = {
    compared_member{.name = "mean", .value = &distribution::mean},
    compared_member{.name = "p50", .value = &distribution::p50},
    compared_member{.name = "p90", .value = &distribution::p90},
    compared_member{.name = "p99", .value = &distribution::p99},
    compared_member{.name = "max", .value = &distribution::max},
};

absl::Status CheckSameScenario(const run_origin& first, const run_origin& second) {
  if (first.scenario != second.scenario) {
    return MakeError(load_error::kDifferentScenarios,
                     "results of different scenarios can't be compared: '" + first.scenario +
                         "' and '" + second.scenario + "'");
  }
  if (first.workload != second.workload) {
    return MakeError(load_error::kDifferentScenarios,
                     "scenario '" + first.scenario + "' was changed between the runs: workload " +
                         first.workload + " and " + second.workload);
  }
  return absl::OkStatus();
}

uint64_t CountOf(const run_report& report, std::string_view outcome) {
  auto found = std::ranges::find(report.outcomes, outcome, &named_count::name);
  return found == report.outcomes.end() ? 0 : found->count;
}

void AddDistribution(std::vector<compared_figure>& figures, const std::string& name,
                     const distribution& first, const distribution& second) {
  for (const compared_member& member : kMembers) {
    figures.push_back({.name = name + " " + std::string(member.name),
                       .first = first.*member.value,
                       .second = second.*member.value});
  }
}

void AddCount(std::vector<compared_figure>& figures, const std::string& name, uint64_t first,
              uint64_t second) {
  figures.push_back(
      {.name = name, .first = static_cast<double>(first), .second = static_cast<double>(second)});
}

}  // namespace

std::optional<double> compared_figure::Ratio() const {
  return first == 0 ? std::nullopt : std::optional(second / first);
}

absl::StatusOr<std::vector<compared_figure>> Compare(const run_report& first,
                                                     const run_report& second) {
  TRY(CheckSameScenario(first.origin, second.origin));
  std::vector<compared_figure> figures;
  AddCount(figures, "jobs", first.totals.jobs, second.totals.jobs);
  for (const named_count& outcome : first.outcomes) {
    uint64_t other = CountOf(second, outcome.name);
    if (outcome.count > 0 || other > 0) {
      AddCount(figures, "jobs " + outcome.name, outcome.count, other);
    }
  }
  AddCount(figures, "tasks completed", first.totals.completed_tasks, second.totals.completed_tasks);
  figures.push_back({.name = "work completed, s",
                     .first = first.totals.completed_work_s,
                     .second = second.totals.completed_work_s});
  if (first.window.has_value() && second.window.has_value()) {
    figures.push_back({.name = "work completed in the window of the changes, s",
                       .first = first.window->completed_work_s,
                       .second = second.window->completed_work_s});
    AddDistribution(figures, "response / ideal in the window of the changes",
                    first.window->response_over_ideal, second.window->response_over_ideal);
  }
  for (const counter_growth& counter : first.counters) {
    auto other = std::ranges::find(second.counters, counter.name, &counter_growth::name);
    if (other != second.counters.end()) {
      figures.push_back({.name = counter.name, .first = counter.growth, .second = other->growth});
    }
  }
  AddDistribution(figures, "response, ms,", first.response_ms, second.response_ms);
  AddDistribution(figures, "response / ideal", first.response_over_ideal,
                  second.response_over_ideal);
  AddDistribution(figures, "time to a failure, ms,", first.failure_ms, second.failure_ms);
  AddDistribution(figures, "send delay of the tool, ms,", first.send_delay_ms,
                  second.send_delay_ms);
  return figures;
}

std::string ToMarkdown(const std::vector<compared_figure>& figures, const run_report& first,
                       const run_report& second) {
  std::string out = absl::StrFormat("Scenario `%s` (workload %s)\n\n", first.origin.scenario,
                                    first.origin.workload);
  for (const auto& [name, origin] : {std::pair{'A', &first.origin}, {'B', &second.origin}}) {
    absl::StrAppendFormat(&out, "- %c: seed %d, wagtail-load %s, %s, `%s`\n", name, origin->seed,
                          origin->version, origin->started_at, origin->command);
  }
  if (first.origin.seed != second.origin.seed) {
    out += "\nThe seeds differ, so the arrivals do too.\n";
  }
  out += "\n| measure | A | B | B/A |\n|---|---|---|---|\n";
  for (const compared_figure& figure : figures) {
    std::optional<double> ratio = figure.Ratio();
    absl::StrAppendFormat(&out, "| %s | %.10g | %.10g | %s |\n", figure.name, figure.first,
                          figure.second,
                          ratio.has_value() ? absl::StrFormat("%.3f", *ratio) : std::string("-"));
  }
  return out;
}

}  // namespace wagtail
