#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "policy_bench/reference.h"
#include "policy_bench/report.h"

namespace wagtail {
namespace {

struct named_policy {
  std::string name;
  placement_policy policy;
};

const std::vector<named_policy>& Policies() {
  static const std::vector<named_policy> all = {
      {"random", placement_policy::kRandom},
      {"round-robin", placement_policy::kRoundRobin},
      {"least-outstanding", placement_policy::kLeastOutstanding},
      {"expected-finish", placement_policy::kExpectedFinish},
  };
  return all;
}

struct bench_settings {
  std::vector<std::string> scenarios = {"kandy", "jutland"};
  std::vector<std::string> mixes = {"faster", "slower"};
  std::vector<std::string> faults = {"none"};
  std::vector<double> loads = {0.6, 0.8, 0.95};
  uint64_t seed = 1;
  uint32_t entries = 3;
  int64_t seconds = 90;
  std::string jobs = "small";
  std::vector<std::string> policies = {"random",          "round-robin", "least-outstanding",
                                       "expected-finish", "omniscient",  "fluid bound"};
  bool as_json = false;
  placement_options options;
};

void RunCase(const scenario& scenario, const std::string& faults, double load,
             const bench_settings& settings, std::vector<bench_row>& rows) {
  const job_mix jobs = settings.jobs == "mixed" ? job_mix::kMixed : job_mix::kSmall;
  const std::vector<task_arrival> arrivals = MakeArrivals(scenario, jobs, load, settings.seed);
  const auto is_wanted = [&](const std::string& name) {
    return std::ranges::find(settings.policies, name) != settings.policies.end();
  };
  const auto add = [&](const std::string& policy, bench_row row) {
    row.scenario = scenario.name;
    row.faults = faults;
    row.load = load;
    row.policy = policy;
    rows.push_back(row);
  };
  for (const named_policy& candidate : Policies()) {
    if (!is_wanted(candidate.name)) {
      continue;
    }
    placement_options options = settings.options;
    options.policy = candidate.policy;
    options.seed = settings.seed;
    add(candidate.name, Summarise(model(scenario, arrivals, options).Run()));
  }
  if (scenario.faults.empty() && is_wanted("omniscient")) {
    model_result omniscient;
    omniscient.ratios = RunOmniscient(scenario, arrivals);
    add("omniscient", Summarise(std::move(omniscient)));
  }
  if (scenario.faults.empty() && is_wanted("fluid bound")) {
    bench_row bound;
    bound.mean = FluidBound(scenario, load);
    add("fluid bound", bound);
  }
}

std::vector<bench_row> RunAll(const bench_settings& settings) {
  std::vector<bench_row> rows;
  for (const std::string& name : settings.scenarios) {
    for (const std::string& mix : settings.mixes) {
      for (const std::string& faults : settings.faults) {
        auto scenario = FindScenario(name, mix);
        if (!scenario.has_value() || !AddFaults(*scenario, faults)) {
          throw CLI::ValidationError(
              absl::StrCat("unknown scenario, mix or faults: ", name, " ", mix, " ", faults));
        }
        scenario->length = std::chrono::seconds(settings.seconds);
        scenario->entries = settings.entries;
        scenario->local_queue = settings.options.local_queue;
        for (const double load : settings.loads) {
          RunCase(*scenario, faults, load, settings, rows);
        }
      }
    }
  }
  return rows;
}

int Main(int argc, char** argv) {
  bench_settings settings;
  CLI::App app("Compares placement policies over the same arrivals in virtual time.");
  app.add_option("--scenario", settings.scenarios, "kandy, jutland")->delimiter(',');
  app.add_option("--mix", settings.mixes, "faster, slower")->delimiter(',');
  app.add_option("--faults", settings.faults,
                 "none, leave, leave-twice, overlap, quick-failer, straggler, silent")
      ->delimiter(',');
  app.add_option("--load", settings.loads, "offered work / capacity")->delimiter(',');
  app.add_option("--jobs", settings.jobs, "small: 1 to 4 tasks a job; mixed: up to 64")
      ->check(CLI::IsMember({"small", "mixed"}));
  app.add_option("--policy", settings.policies, "policies to run")->delimiter(',');
  app.add_option("--seed", settings.seed, "seed of arrivals and policies");
  app.add_option("--entries", settings.entries, "entries that share the targets");
  app.add_option("--seconds", settings.seconds, "virtual length of a run");
  app.add_option("--local-queue", settings.options.local_queue, "tasks a daemon queues");
  app.add_option("--queue-ahead", settings.options.queue_ahead, "tasks queued on purpose");
  app.add_option("--backlog-queue-ahead", settings.options.backlog_queue_ahead,
                 "further tasks queued on purpose under a deep backlog");
  app.add_option("--wait-weight", settings.options.wait_weight, "weight of waiting");
  app.add_option("--tie", settings.options.tie_tolerance, "fraction of cost that ties");
  app.add_flag("--json", settings.as_json, "JSON instead of Markdown");
  CLI11_PARSE(app, argc, argv);
  const std::vector<bench_row> rows = RunAll(settings);
  std::cout << (settings.as_json ? ToJson(rows, settings.seed) : ToMarkdown(rows));
  return 0;
}

}  // namespace
}  // namespace wagtail

int main(int argc, char** argv) { return wagtail::Main(argc, argv); }
