/// @file
/// Prints how several entries share full targets, with and without offers of freed capacity to the
/// entry with the most urgent waiting job, see docs/design/14-shared-targets.md.
/// Usage: share_comparison MIX LOAD ENTRIES HEAVY_WEIGHT BURST LINKS PRIORITIES SEEDS CORE_SHARE
/// [HOLD_MS REPORT_INTERVAL_MS]...

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "tests/load/load_simulation.h"

namespace wagtail::leased {
namespace {

constexpr unsigned kTargets = 24;
constexpr unsigned kLargeEvery = 3;
constexpr double kLargeFactor = 1.5;

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

load_kind Kind(std::string name, uint32_t tasks, int task_ms, int64_t cpu, double per_second,
               unsigned priority) {
  return {.name = std::move(name),
          .tasks = tasks,
          .task_time = Ms(task_ms),
          .cpu = cpu,
          .per_second = per_second,
          .priority = priority,
          .wide = 0.1};
}

/// @return cores of nominal speed
double Capacity(const load_simulation::settings& settings) {
  double cores = 0;
  for (unsigned number = 0; number < settings.targets; ++number) {
    bool is_slow = number % settings.slow_every == 0;
    cores += static_cast<double>(settings.target_cpu) / 1000 *
             (number % kLargeEvery == 0 ? kLargeFactor : 1) /
             (is_slow ? settings.slow_factor : settings.normal_factor);
  }
  return cores;
}

/// @return the workload of docs/OVERLOAD.md, at `load` times the capacity
load_simulation::settings Workload(int mix, double load) {
  load_simulation::settings settings;
  settings.targets = kTargets;
  settings.large_every = kLargeEvery;
  settings.length = std::chrono::seconds(10);
  settings.task_spread = 0.15;
  settings.caller_timeout = Ms(2100);
  if (mix == 1) {
    settings.slow_factor = 1;
    settings.kinds = {Kind("p0", 8, 51, 6900, 181, 0), Kind("p1", 2, 170, 6900, 529, 1),
                      Kind("p2", 4, 760, 6900, 33, 2)};
  } else {
    settings.slow_factor = 1 / 0.55;
    settings.normal_factor = 1 / 1.2;
    settings.target_cpu = 32'000;
    settings.kinds = {Kind("p0", 8, 60, 2400, 206, 0), Kind("p1", 2, 200, 2400, 600, 1),
                      Kind("p2", 4, 900, 2400, 37.5, 2)};
  }
  double demand = 0;
  for (const load_kind& kind : settings.kinds) {
    demand += kind.per_second * kind.tasks * (1 + kind.wide) * ToSeconds(kind.task_time) *
              static_cast<double>(kind.cpu) / 1000;
  }
  for (load_kind& kind : settings.kinds) {
    kind.per_second *= load * Capacity(settings) / demand;
  }
  return settings;
}

double Share(unsigned part, const load_result& of) {
  return of.submitted == 0 ? 0 : static_cast<double>(part) / of.submitted;
}

/// Mean over the seeds of the difference to another setting under the same load.
struct paired_difference {
  double mean = 0;
  double error = 0;  ///< twice the standard error of the mean
};

paired_difference Difference(const std::vector<double>& from, const std::vector<double>& to) {
  auto count = static_cast<double>(from.size());
  double sum = 0;
  double squares = 0;
  for (size_t seed = 0; seed < from.size(); ++seed) {
    double difference = to[seed] - from[seed];
    sum += difference;
    squares += difference * difference;
  }
  double mean = sum / count;
  double variance = count > 1 ? (squares - count * mean * mean) / (count - 1) : 0;
  return {.mean = mean, .error = 2 * std::sqrt(std::max(variance, 0.0) / count)};
}

/// Shares by seed.
struct seed_results {
  std::vector<double> in_time{};
  std::vector<double> served{};
};

/// Plays all seeds and prints a row.
/// @param base results to compare with; filled by the first call
void Play(load_simulation::settings settings, unsigned seeds, seed_results& base) {
  uint64_t reports = 0;
  std::map<std::string, load_result> kinds;
  seed_results results;
  load_result heavy;
  load_result others;
  unsigned refused_with_free = 0;
  for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
    load_simulation simulation(settings);
    const load_simulation::totals& totals = simulation.Run();
    results.in_time.push_back(totals.Sum().InTimeShare());
    results.served.push_back(totals.Sum().ServedShare());
    reports += totals.reports;
    refused_with_free += totals.refused_with_free;
    for (const auto& [name, result] : totals.kinds) {
      kinds[name] += result;
    }
    for (size_t number = 0; number < totals.entries.size(); ++number) {
      (number < settings.heavy_entries ? heavy : others) += totals.entries[number];
    }
  }
  load_result all = kinds["p0"];
  all += kinds["p1"];
  all += kinds["p2"];
  if (base.in_time.empty()) {
    base = results;
  }
  std::string hold = std::to_string(ToMilliseconds(settings.freed.hold)) + ", " +
                     std::to_string(ToMilliseconds(settings.freed.report_interval));
  paired_difference in_time = Difference(base.in_time, results.in_time);
  paired_difference served = Difference(base.served, results.served);
  std::printf("| %s | %.3f (%.3f-%.3f) | %+.3f ± %.3f | %.3f | %+.3f ± %.3f | %.3f | %.4f |",
              hold.c_str(), all.InTimeShare(), std::ranges::min(results.in_time),
              std::ranges::max(results.in_time), in_time.mean, in_time.error, all.ServedShare(),
              served.mean, served.error, Share(all.refused, all), Share(refused_with_free, all));
  for (const char* name : {"p0", "p1", "p2"}) {
    const load_result& kind = kinds[name];
    std::printf(" %.3f %.3f %.3f |", kind.InTimeShare(), kind.ServedShare(),
                Share(kind.refused, kind));
  }
  std::printf(" %.3f %.3f | %.0f |\n", heavy.InTimeShare(), others.InTimeShare(),
              static_cast<double>(reports) / seeds);
  std::fflush(stdout);
}

}  // namespace
}  // namespace wagtail::leased

int main(int argc, char** argv) {
  using wagtail::leased::load_simulation;
  std::vector<std::string> words(argv + 1, argv + argc);
  constexpr size_t kFixed = 9;
  if (words.size() < kFixed + 2 || words.size() % 2 == 0) {
    std::puts(
        "usage: share_comparison MIX LOAD ENTRIES HEAVY_WEIGHT BURST LINKS PRIORITIES SEEDS "
        "CORE_SHARE "
        "[HOLD_MS REPORT_INTERVAL_MS]...");
    return 2;
  }
  load_simulation::settings settings =
      wagtail::leased::Workload(std::stoi(words[0]), std::stod(words[1]));
  settings.entries = static_cast<unsigned>(std::stoul(words[2]));
  settings.heavy_entries = 2;
  settings.first_entry_weight = std::stod(words[3]);
  double burst = std::stod(words[4]);
  if (burst > 1) {
    settings.bursts = {{{.from = std::chrono::seconds(3), .to = std::chrono::seconds(7)}, burst}};
  }
  settings.links = static_cast<unsigned>(std::stoul(words[5]));
  if (words[6] == "0") {
    for (wagtail::leased::load_kind& kind : settings.kinds) {
      kind.priority = 0;
    }
  }
  if (double core_share = std::stod(words[8]); core_share > 0) {
    settings.small_entry_share = core_share;  // of each entry; 0: unlimited
    settings.small_entries = settings.entries;
  }
  std::puts(
      "| hold, interval (ms) | in time (seeds) | to the first row | served | to the first row | "
      "refused | refused with free targets | "
      "p0: in time, served, refused | p1 | p2 | in time: heavy entries, others | reports |");
  wagtail::leased::seed_results base;
  for (size_t index = kFixed; index < words.size(); index += 2) {
    settings.freed.hold = std::chrono::milliseconds(std::stoi(words[index]));
    settings.freed.report_interval = std::chrono::milliseconds(std::stoi(words[index + 1]));
    wagtail::leased::Play(settings, static_cast<unsigned>(std::stoul(words[7])), base);
  }
  return 0;
}
