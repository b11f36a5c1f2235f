#include "metrics/process_metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace wagtail {

namespace {

double ToSecondsOf(const timeval& value) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return static_cast<double>(value.tv_sec) +
         static_cast<double>(value.tv_usec) / kMicrosecondsPerSecond;
}

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return ToSecondsOf(usage.ru_utime) + ToSecondsOf(usage.ru_stime);
}

double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  uint64_t total_pages = 0;
  uint64_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return static_cast<double>(resident_pages) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double CountEntries(const char* folder) {
  std::error_code ignored;
  auto entries = std::filesystem::directory_iterator(folder, ignored);
  return static_cast<double>(std::distance(entries, std::filesystem::directory_iterator()));
}

}  // namespace

void AddProcessMetrics(metrics_registry& registry) {
  auto& started = registry.Gauges("process_start_time_seconds",
                                  "Start time of the process since the Unix epoch in seconds.");
  auto& processor = registry.Counters("process_cpu_seconds_total",
                                      "Total user and system CPU time spent in seconds.");
  auto& memory = registry.Gauges("process_resident_memory_bytes", "Resident memory size in bytes.");
  auto& files = registry.Gauges("process_open_fds", "Number of open file descriptors.");
  auto& threads = registry.Gauges("process_threads", "Number of threads.");
  auto now = std::chrono::system_clock::now().time_since_epoch();
  started.Add({}).Set(std::chrono::duration<double>(now).count());
  registry.BeforeWrite([&processor = processor.Add({}), &memory = memory.Add({}),
                        &files = files.Add({}), &threads = threads.Add({})] {
    // Concurrent expositions may read out of order; the counter must not decrease.
    processor.Increment(std::max(0.0, ProcessorSeconds() - processor.value()));
    memory.Set(ResidentBytes());
    files.Set(CountEntries("/proc/self/fd"));
    threads.Set(CountEntries("/proc/self/task"));
  });
}

}  // namespace wagtail
