#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "base/try.h"
#include "base/version.h"
#include "http/http_client.h"
#include "settings/settings_text.h"
#include "wagtail_load/comparison.h"
#include "wagtail_load/counter_scrape.h"
#include "wagtail_load/load_error.h"
#include "wagtail_load/load_runner.h"
#include "wagtail_load/load_scenario.h"
#include "wagtail_load/run_report.h"
#include "wagtail_load/schedule.h"
#include "wagtail_load/stand_in_check.h"
#include "wagtail_load/statistics.h"
#include "wagtail_load/svg_plot.h"

/// @file
/// wagtail-load: runs load scenarios against entries, compares and plots their results.

namespace wagtail {

namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;

std::atomic<bool> stop_requested = false;

void RequestStop(int /*signal*/) { stop_requested = true; }

/// What the command line overrides in a scenario.
struct run_options {
  std::string scenario_file;
  std::string out_file;
  std::vector<std::string> entries;
  uint64_t seed = 0;
  bool has_seed = false;
};

absl::Status WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  return file ? absl::OkStatus() : MakeError(load_error::kNotWritten, path + ": cannot be written");
}

absl::StatusOr<run_report> ReadReport(const std::string& path) {
  std::string text = TRY(ReadTextFile(path));
  return ParseReport(text, path);
}

absl::StatusOr<load_scenario> ReadScenarioFor(const run_options& options) {
  std::string text = TRY(ReadTextFile(options.scenario_file));
  load_scenario plan = TRY(ParseScenario(text, options.scenario_file));
  if (!options.entries.empty()) {
    plan.entries = options.entries;
  }
  if (options.has_seed) {
    plan.seed = options.seed;
  }
  return plan;
}

absl::Status Run(const run_options& options, const std::string& command) {
  load_scenario plan = TRY(ReadScenarioFor(options));
  std::vector<planned_job> jobs = TRY(MakeSchedule(plan));
  std::string started_at =
      absl::FormatTime("%Y-%m-%d%ET%H:%M:%SZ", absl::Now(), absl::UTCTimeZone());
  std::cerr << "running " << plan.name << ": " << jobs.size() << " jobs in "
            << ToSeconds(plan.length) << " s\n";
  const std::vector<std::string>& pages =
      plan.metrics_pages.empty() ? plan.entries : plan.metrics_pages;
  std::vector<counter_page> before = ScrapeCounters(pages, plan.counters, CallHttp);
  run_outcome outcome = RunSchedule(plan, jobs, CallHttp, stop_requested);
  std::vector<counter_page> after = ScrapeCounters(pages, plan.counters, CallHttp);
  run_report report = Summarise(plan, jobs, outcome.records, std::move(outcome.changes));
  report.counters = GrowthBetween(before, after, plan.counters);
  report.origin = {.scenario = plan.name,
                   .workload = WorkloadDigest(plan),
                   .seed = plan.seed,
                   .version = std::string(kVersion),
                   .command = command,
                   .started_at = started_at};
  TRY(WriteFile(options.out_file, ToJsonText(report)));
  std::cout << ToMarkdown(report);
  return absl::OkStatus();
}

absl::Status CheckScenario(const run_options& options) {
  load_scenario plan = TRY(ReadScenarioFor(options));
  std::vector<planned_job> jobs = TRY(MakeSchedule(plan));
  std::cout << options.scenario_file << ": good; " << jobs.size() << " jobs, workload "
            << WorkloadDigest(plan) << "\n";
  return absl::OkStatus();
}

absl::Status ShowComparison(const std::vector<std::string>& files) {
  run_report first = TRY(ReadReport(files[0]));
  run_report second = TRY(ReadReport(files[1]));
  std::vector<compared_figure> figures = TRY(Compare(first, second));
  std::cout << ToMarkdown(figures, first, second);
  return absl::OkStatus();
}

absl::Status Plot(const std::string& file, const std::string& out_file) {
  run_report report = TRY(ReadReport(file));
  return WriteFile(out_file, PlotSvg(report));
}

absl::Status Show(const std::string& file) {
  run_report report = TRY(ReadReport(file));
  std::cout << ToMarkdown(report);
  return absl::OkStatus();
}

absl::Status ShowStandIns(const std::vector<std::string>& urls) {
  std::vector<stand_in_state> states = CheckStandIns(urls, CallHttp);
  for (const stand_in_state& state : states) {
    std::cout << state.url << ": "
              << (state.answered ? "doubled " + std::to_string(state.doubled) : "no usable answer")
              << " " << state.detail << "\n";
  }
  return AllStartedOnce(states) ? absl::OkStatus()
                                : MakeError(load_error::kUnexpectedAnswer,
                                            "a stand-in ran a task twice or did not answer");
}

int ExitCodeOf(const absl::Status& status) {
  if (status.ok()) {
    return kDone;
  }
  std::cerr << "wagtail-load: " << MessageOf(status) << "\n";
  return kFailed;
}

void AddScenarioOptions(CLI::App& command, run_options& options) {
  command.add_option("scenario", options.scenario_file, "scenario file")->required();
  command.add_option("--entry", options.entries,
                     "http://IP:PORT of an entry, instead of the scenario's; may be repeated");
  command.add_option_function<uint64_t>(
      "--seed",
      [&options](uint64_t seed) {
        options.seed = seed;
        options.has_seed = true;
      },
      "seed instead of the scenario's");
}

int Main(int argc, char** argv) {
  CLI::App app("Runs load scenarios against wagtailplank entries and reads their results.",
               "wagtail-load");
  app.set_version_flag("--version", std::string(kVersion));
  app.require_subcommand(1);
  std::string command = absl::StrJoin(argv, argv + argc, " ");

  run_options options;
  CLI::App* run = app.add_subcommand("run", "run a scenario and save its result");
  AddScenarioOptions(*run, options);
  run->add_option("--out", options.out_file, "where the result goes, as JSON")->required();
  CLI::App* check = app.add_subcommand("check", "check a scenario without running it");
  AddScenarioOptions(*check, options);

  std::vector<std::string> files;
  CLI::App* compare = app.add_subcommand("compare", "print the ratios of two results");
  compare->add_option("results", files, "two saved results")->required()->expected(2);
  std::string file;
  CLI::App* show = app.add_subcommand("show", "print a saved result as Markdown");
  show->add_option("result", file, "saved result")->required();
  std::string svg_file;
  CLI::App* plot = app.add_subcommand("plot", "draw a saved result as SVG");
  plot->add_option("result", file, "saved result")->required();
  plot->add_option("--out", svg_file, "where the drawing goes")->required();
  std::vector<std::string> urls;
  CLI::App* stand_ins = app.add_subcommand(
      "check-stand-ins", "fail if a target stand-in was asked to run a task twice");
  stand_ins->add_option("urls", urls, "http://IP:PORT of the stand-ins")->required();

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kDone : kUsage;
  }
  std::signal(SIGINT, RequestStop);
  std::signal(SIGTERM, RequestStop);
  if (*run) {
    return ExitCodeOf(Run(options, command));
  }
  if (*check) {
    return ExitCodeOf(CheckScenario(options));
  }
  if (*compare) {
    return ExitCodeOf(ShowComparison(files));
  }
  if (*show) {
    return ExitCodeOf(Show(file));
  }
  if (*plot) {
    return ExitCodeOf(Plot(file, svg_file));
  }
  return ExitCodeOf(ShowStandIns(urls));
}

}  // namespace

}  // namespace wagtail

int main(int argc, char** argv) { return wagtail::Main(argc, argv); }
