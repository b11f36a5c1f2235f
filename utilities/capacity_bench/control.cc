#include "utilities/capacity_bench/control.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>
#include <thread>

#include "absl/strings/str_cat.h"
#include "base/try.h"
#include "table/http_table.h"
#include "target/target_daemon.h"
#include "utilities/capacity_bench/usage.h"

namespace wagtail {

namespace {

constexpr duration kLinkPoll = std::chrono::milliseconds(200);
// Fields of /proc/PID/stat that follow the command's closing bracket: state is the first.
constexpr int kUserTimeField = 12;

using daemon_list = std::vector<std::unique_ptr<target_daemon>>;

double CpuSecondsOf(int pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/stat"));
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream rest(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  std::string skipped;
  for (int field = 1; field < kUserTimeField; ++field) {
    rest >> skipped;
  }
  double user_ticks = 0;
  double system_ticks = 0;
  rest >> user_ticks >> system_ticks;
  return (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

uint64_t ResidentKibOf(int pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/statm"));
  uint64_t total_pages = 0;
  uint64_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE)) / 1024;
}

absl::StatusOr<daemon_list> StartDaemons(const control_options& options, table& table) {
  daemon_list daemons;
  for (uint32_t number = 0; number < options.targets; ++number) {
    target_daemon_options each;
    each.target = absl::StrCat("bench-", number);
    each.failure_domain = absl::StrCat("zone-", number % options.domains + 1);
    each.cluster_key = options.cluster_key;
    auto daemon = std::make_unique<target_daemon>(each, table);
    if (absl::Status listening = daemon->Listen(); !listening.ok()) {
      return listening;
    }
    target_announcement told{
        .service = options.service, .url = "http://127.0.0.1:9", .slots = 1, .accelerator = ""};
    if (absl::Status taken = daemon->Announce(told); !taken.ok()) {
      return taken;
    }
    daemons.push_back(std::move(daemon));
  }
  return daemons;
}

bool IsLinked(target_daemon& daemon, uint32_t entries) {
  target_daemon_status status = daemon.Status();
  return status.ready && status.entries >= entries;
}

absl::Status WaitForLinks(const daemon_list& daemons, const control_options& options) {
  instant limit = MonotonicNow() + options.link_limit;
  while (MonotonicNow() < limit) {
    bool all_linked = std::ranges::all_of(
        daemons, [&options](const auto& daemon) { return IsLinked(*daemon, options.entries); });
    if (all_linked) {
      return absl::OkStatus();
    }
    std::this_thread::sleep_for(kLinkPoll);
  }
  auto linked = std::ranges::count_if(
      daemons, [&options](const auto& daemon) { return IsLinked(*daemon, options.entries); });
  return absl::DeadlineExceededError(
      absl::StrCat(linked, " of ", daemons.size(), " targets' daemons are linked and ready"));
}

struct sample {
  instant at{};
  duration daemons{};
  socket_traffic traffic;
  std::vector<double> entry_seconds;
};

sample TakeSample(const control_options& options) {
  sample taken{.at = MonotonicNow(),
               .daemons = ProcessTime(),
               .traffic = CountTraffic(),
               .entry_seconds = {}};
  std::ranges::transform(options.watched_pids, std::back_inserter(taken.entry_seconds),
                         CpuSecondsOf);
  return taken;
}

}  // namespace

absl::StatusOr<control_result> MeasureControl(const control_options& options) {
  http_table table({.base_url = options.table_url});
  uint64_t bare_kib = ResidentKib();
  daemon_list daemons = TRY(StartDaemons(options, table));
  if (absl::Status linked = WaitForLinks(daemons, options); !linked.ok()) {
    return linked;
  }
  std::this_thread::sleep_for(options.settle);
  sample before = TakeSample(options);
  std::this_thread::sleep_for(options.measured);
  sample after = TakeSample(options);

  double seconds = ToSeconds(after.at - before.at);
  auto links = static_cast<double>(std::max<uint64_t>(after.traffic.connections, 1));
  control_result result{.targets = options.targets, .entries = options.entries, .entry_usage = {}};
  result.links = after.traffic.connections;
  result.daemon_cpu_fraction =
      ToSeconds(after.daemons - before.daemons) / seconds / options.targets;
  result.daemon_kib = static_cast<double>(ResidentKib() - bare_kib) / options.targets;
  result.payload_bytes_per_link =
      static_cast<double>(after.traffic.payload_bytes - before.traffic.payload_bytes) / seconds /
      links;
  result.wire_bytes_per_link =
      static_cast<double>(after.traffic.wire_bytes() - before.traffic.wire_bytes()) / seconds /
      links;
  for (size_t index = 0; index < options.watched_pids.size(); ++index) {
    result.entry_usage.push_back(
        {.pid = options.watched_pids[index],
         .cpu_fraction = (after.entry_seconds[index] - before.entry_seconds[index]) / seconds,
         .resident_kib = ResidentKibOf(options.watched_pids[index])});
  }
  return result;
}

}  // namespace wagtail
