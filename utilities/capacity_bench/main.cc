#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "base/layer_error.h"
#include "base/version.h"
#include "utilities/capacity_bench/control.h"
#include "utilities/capacity_bench/throughput.h"

namespace wagtail {
namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;

nlohmann::ordered_json ToJson(const throughput_result& result) {
  return {{"targets", result.targets},
          {"job_tasks", result.job_tasks},
          {"starts_per_second", result.starts_per_second},
          {"entry_us_per_task", result.entry_us_per_task},
          {"target_us_per_task", result.target_us_per_task},
          {"starts_per_entry_cpu_second", result.starts_per_entry_cpu_second},
          {"refused_per_task", result.refused_per_task},
          {"half_load_starts_per_second", result.half_load_starts_per_second},
          {"half_load_entry_us_per_task", result.half_load_entry_us_per_task},
          {"half_load_p50_ms", result.half_load_p50_ms},
          {"half_load_p99_ms", result.half_load_p99_ms}};
}

nlohmann::ordered_json ToJson(const control_result& result) {
  nlohmann::ordered_json entries = nlohmann::ordered_json::array();
  for (const process_usage& usage : result.entry_usage) {
    entries.push_back({{"cpu_fraction", usage.cpu_fraction}, {"rss_kib", usage.resident_kib}});
  }
  return {{"targets", result.targets},
          {"entries", result.entries},
          {"links", result.links},
          {"daemon_cpu_fraction", result.daemon_cpu_fraction},
          {"daemon_kib_in_shared_process", result.daemon_kib},
          {"payload_bytes_per_link_second", result.payload_bytes_per_link},
          {"wire_bytes_per_link_second", result.wire_bytes_per_link},
          {"entry_usage", entries}};
}

int RunThroughput(throughput_options options, const std::vector<uint32_t>& job_sizes) {
  for (uint32_t tasks : job_sizes) {
    options.job_tasks = tasks;
    std::cout << ToJson(MeasureThroughput(options)).dump() << std::endl;
  }
  return kDone;
}

int RunControl(const control_options& options) {
  absl::StatusOr<control_result> result = MeasureControl(options);
  if (!result.ok()) {
    std::cerr << MessageOf(result.status()) << '\n';
    return kFailed;
  }
  std::cout << ToJson(*result).dump() << std::endl;
  return kDone;
}

void AddMilliseconds(CLI::App* command, const std::string& name, duration& value,
                     const std::string& help) {
  command->add_option_function<int64_t>(
      name, [&value](int64_t given) { value = std::chrono::milliseconds(given); },
      help + ", in milliseconds");
}

int Main(int argc, char** argv) {
  CLI::App app(
      "wagtail-capacity-bench: what dispatch and control cost. Prints one JSON line a run");
  app.set_version_flag("--version", std::string(kVersion));
  app.require_subcommand(1);

  throughput_options throughput;
  std::vector<uint32_t> job_sizes = {1, 8, 69, 690};
  CLI::App* dispatch = app.add_subcommand(
      "throughput", "tasks started through one entry's dispatch to targets that end at once");
  dispatch->add_option("--targets", throughput.targets, "fake targets");
  dispatch->add_option("--slots", throughput.slots, "slots of each");
  dispatch->add_option("--job-tasks", job_sizes, "tasks of a job, one run for each");
  dispatch->add_option("--body-bytes", throughput.body_bytes, "bytes of a task and its answer");
  AddMilliseconds(dispatch, "--measured-ms", throughput.measured, "measured at full and half load");

  control_options control;
  CLI::App* idle = app.add_subcommand(
      "control", "heartbeats between entries that run already and targets' daemons, without tasks");
  idle->add_option("--targets", control.targets, "targets' daemons, all in this process");
  idle->add_option("--entries", control.entries, "entries that will link to each");
  idle->add_option("--service", control.service, "service that they announce");
  idle->add_option("--cluster-key", control.cluster_key, "shared key")->required();
  idle->add_option("--table-url", control.table_url, "the platform's table")->required();
  idle->add_option("--watch-pid", control.watched_pids, "processes of the entries");
  AddMilliseconds(idle, "--measured-ms", control.measured, "measured");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kDone : kUsage;
  }
  return *dispatch ? RunThroughput(throughput, job_sizes) : RunControl(control);
}

}  // namespace
}  // namespace wagtail

int main(int argc, char** argv) { return wagtail::Main(argc, argv); }
