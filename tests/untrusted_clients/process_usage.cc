#include "tests/untrusted_clients/process_usage.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/time.h"

namespace wagtail {
namespace {

constexpr size_t kKilobyte = 1024;
constexpr duration kSampleInterval = std::chrono::milliseconds(20);
/// State of a listening socket in /proc/net/tcp, whose queue counts connections.
constexpr unsigned kListenState = 0x0A;

/// Raises a value that only one thread writes.
void Raise(std::atomic<size_t>& highest, size_t value) {
  highest = std::max(highest.load(), value);
}

}  // namespace

size_t PeakMemoryKb(pid_t pid) {
  constexpr std::string_view kField = "VmHWM:";
  std::ifstream status(absl::StrCat("/proc/", pid, "/status"));
  std::string line;
  while (std::getline(status, line) && !line.starts_with(kField)) {
  }
  return line.empty() ? 0 : std::strtoul(&line[kField.size()], nullptr, 10);
}

size_t OpenDescriptors(pid_t pid) {
  std::error_code gone;
  std::filesystem::directory_iterator each(absl::StrCat("/proc/", pid, "/fd"), gone);
  return static_cast<size_t>(std::distance(each, std::filesystem::directory_iterator()));
}

size_t UnreadBytes(const std::string& ip) {
  in_addr wanted{};
  inet_pton(AF_INET, ip.c_str(), &wanted);
  std::ifstream connections("/proc/net/tcp");
  std::string line;
  size_t bytes = 0;
  while (std::getline(connections, line)) {
    uint32_t local = 0;
    unsigned state = 0;
    size_t unread = 0;
    constexpr int kFields = 3;
    int read = std::sscanf(line.c_str(), " %*d: %" SCNx32 ":%*x %*x:%*x %x %*x:%zx", &local, &state,
                           &unread);
    bool is_counted = read == kFields && local == wanted.s_addr && state != kListenState;
    bytes += is_counted ? unread : 0;
  }
  return bytes;
}

usage_sampler::usage_sampler(pid_t pid, std::string ip) : pid_(pid), ip_(std::move(ip)) {
  thread_ = std::jthread([this](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      Sample();
      std::this_thread::sleep_for(kSampleInterval);
    }
  });
}

process_usage usage_sampler::peak() const {
  return {.memory_kb = memory_kb_, .unread_kb = unread_kb_, .descriptors = descriptors_};
}

void usage_sampler::Sample() {
  size_t unread_kb = UnreadBytes(ip_) / kKilobyte;
  Raise(memory_kb_, PeakMemoryKb(pid_) + unread_kb);
  Raise(unread_kb_, unread_kb);
  Raise(descriptors_, OpenDescriptors(pid_));
}

}  // namespace wagtail
