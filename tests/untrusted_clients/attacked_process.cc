#include "tests/untrusted_clients/attacked_process.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iterator>
#include <memory>
#include <numeric>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/process/polling.h"
#include "tests/untrusted_clients/process_usage.h"
// Included last: CppUTest's macros must not affect the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr size_t kKilobyte = 1024;
/// How long usage is sampled while the crowd holds its connections: the process may still read.
constexpr duration kObservation = std::chrono::seconds(2);

/// What a process did under a load.
struct behaviour {
  bool is_alive = false;
  bool is_serving = false;
  process_usage usage{};
};

behaviour Observe(const attacked_process& attacked, size_t clients,
                  std::span<const crowd_script> scripts) {
  usage_sampler sampler(attacked.process.pid(), attacked.ip);
  std::vector<std::unique_ptr<client_crowd>> crowds;
  std::ranges::transform(scripts, std::back_inserter(crowds), [&](const crowd_script& script) {
    return std::make_unique<client_crowd>(attacked.address, clients, script);
  });
  std::ranges::for_each(crowds, [](const auto& crowd) { crowd->WaitUntilQuiet(); });
  behaviour seen;
  auto has_ended = [&] { return !attacked.process.IsRunning(); };
  Eventually([&] {
    seen.is_serving = !has_ended() && attacked.request();
    return seen.is_serving || has_ended();
  });
  Eventually(has_ended, kObservation);
  seen.is_alive = !has_ended();
  seen.usage = sampler.peak();
  size_t held = std::transform_reduce(crowds.begin(), crowds.end(), size_t{0}, std::plus(),
                                      [](const auto& crowd) { return crowd->open_connections(); });
  std::printf(" (%zu KB, %zu of them unread, %zu descriptors, %zu connections held)",
              seen.usage.memory_kb, seen.usage.unread_kb, seen.usage.descriptors, held);
  return seen;
}

}  // namespace

void CheckUnder(const attacked_process& attacked, size_t clients, const crowd_script& script) {
  CheckUnderCrowds(attacked, clients, {&script, 1});
}

void CheckUnderCrowds(const attacked_process& attacked, size_t clients,
                      std::span<const crowd_script> scripts) {
  behaviour seen = Observe(attacked, clients, scripts);
  size_t max_kb = attacked.limits.memory_mb * kKilobyte;
  size_t max_descriptors = attacked.limits.max_fds - kSpareDescriptors;
  std::string text =
      absl::StrCat("peak memory ", seen.usage.memory_kb, " of ", max_kb, " KB, descriptors ",
                   seen.usage.descriptors, " of ", max_descriptors);
  CHECK_TEXT(seen.is_alive, "the process ended");
  CHECK_TEXT(seen.is_serving, "no ordinary request was answered 200");
  CHECK_TEXT(seen.usage.memory_kb < max_kb, text.c_str());
  CHECK_TEXT(seen.usage.descriptors <= max_descriptors, text.c_str());
}

attacked_process AttackedEntry(small_cluster& cluster, const process_limits& limits) {
  return {.process = cluster.entry(),
          .limits = limits,
          .ip = cluster.front().ip,
          .address = cluster.front(),
          .request = [&cluster] { return cluster.SubmitJob(); }};
}

attacked_process AttackedAgent(small_cluster& cluster, const process_limits& limits) {
  return {.process = cluster.agent(),
          .limits = limits,
          .ip = cluster.control().ip,
          .address = cluster.control(),
          .request = [&cluster] { return cluster.SendHeartbeat(); }};
}

}  // namespace wagtail::leased
