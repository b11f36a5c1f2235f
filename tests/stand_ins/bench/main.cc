#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <iostream>
#include <thread>
#include <vector>

#include "base/time.h"
#include "base/verify.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "table/http_table.h"
#include "tests/stand_ins/platform/stand_in_platform.h"

/// @file
/// Measures the cost of one HTTP call on loopback, server and client together, and the reads and
/// writes per second of the platform's stand-in. The server runs in this process.

namespace wagtail {
namespace {

struct bench_options {
  std::string kind = "http";
  int threads = 1;
  int seconds = 3;
  int rows = 100;
};

duration ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto span = [](const timeval& value) {
    return std::chrono::seconds(value.tv_sec) + std::chrono::microseconds(value.tv_usec);
  };
  return span(usage.ru_utime) + span(usage.ru_stime);
}

long PeakMemoryKb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

bool CallOnce(const bench_options& options, const std::string& url, table& rows, int thread) {
  if (options.kind == "read") {
    return rows.Read("row/", 0).ok();
  }
  if (options.kind == "write") {
    std::string key = "written/" + std::to_string(thread);
    return rows.Commit({.writes = {{.key = std::move(key), .value = "value"}}}).ok();
  }
  return CallHttp({.url = url + "/control"}).ok();
}

void Fill(table& rows, int count) {
  table_transaction transaction;
  for (int row = 0; row < count; ++row) {
    transaction.writes.push_back({.key = "row/" + std::to_string(row), .value = "value"});
  }
  VERIFY(rows.Commit(transaction).ok());
}

void Measure(const bench_options& options) {
  stand_in_platform platform{platform_settings{}};
  auto server = http_server::Start(
      {}, [&platform](const http_request& request) { return platform.Handle(request); });
  VERIFY(server.ok());
  std::string url = "http://127.0.0.1:" + std::to_string((*server)->port());
  http_table rows({.base_url = url});
  Fill(rows, options.rows);

  std::atomic<uint64_t> answered = 0;
  std::atomic<uint64_t> failed = 0;
  instant started = MonotonicNow();
  duration used = ProcessorTime();
  {
    std::vector<std::jthread> threads;
    threads.reserve(static_cast<size_t>(options.threads));
    for (int thread = 0; thread < options.threads; ++thread) {
      threads.emplace_back([&, thread] {
        while (MonotonicNow() - started < std::chrono::seconds(options.seconds)) {
          ++(CallOnce(options, url, rows, thread) ? answered : failed);
        }
      });
    }
  }
  double elapsed = ToSeconds(MonotonicNow() - started);
  double processor = ToSeconds(ProcessorTime() - used);
  auto calls = static_cast<double>(answered + failed);
  constexpr double kMicroseconds = 1e6;
  std::cout << options.kind << " threads=" << options.threads << " answered=" << answered
            << " failed=" << failed << " per_second=" << calls / elapsed
            << " processor_us_per_call=" << processor / calls * kMicroseconds
            << " peak_memory_kb=" << PeakMemoryKb() << std::endl;
}

}  // namespace
}  // namespace wagtail

int main(int argc, char** argv) {
  constexpr int kMaxThreads = 64;
  constexpr int kMaxSeconds = 20;
  constexpr int kMaxRows = 100'000;
  wagtail::bench_options options;
  CLI::App app("Measures HTTP calls and the platform's stand-in on loopback.");
  app.add_option("kind", options.kind, "http, read or write")
      ->check(CLI::IsMember({"http", "read", "write"}));
  app.add_option("--threads", options.threads, "concurrent callers")
      ->check(CLI::Range(1, kMaxThreads));
  app.add_option("--seconds", options.seconds, "length")->check(CLI::Range(1, kMaxSeconds));
  app.add_option("--rows", options.rows, "rows that a read returns")
      ->check(CLI::Range(1, kMaxRows));
  CLI11_PARSE(app, argc, argv);
  wagtail::Measure(options);
  return 0;
}
