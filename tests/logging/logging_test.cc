#include "logging/logging.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

/// Redirects standard error to a file within its scope.
class captured_stderr {
 public:
  captured_stderr() : file_(std::tmpfile()), kept_(dup(STDERR_FILENO)) {
    dup2(fileno(file_), STDERR_FILENO);
  }
  ~captured_stderr() {
    dup2(kept_, STDERR_FILENO);
    close(kept_);
    (void)std::fclose(file_);
  }
  captured_stderr(const captured_stderr&) = delete;
  captured_stderr& operator=(const captured_stderr&) = delete;

  std::string Read() const {
    (void)std::fflush(stderr);
    std::array<char, 1 << 16> buffer{};
    ssize_t size = pread(fileno(file_), buffer.data(), buffer.size(), 0);
    return {buffer.data(), static_cast<size_t>(size)};
  }

 private:
  FILE* file_;
  int kept_;
};

/// Redirects standard error to a pipe that is read only by Drain().
class piped_stderr {
 public:
  piped_stderr() : kept_(dup(STDERR_FILENO)) {
    CHECK_EQUAL(0, pipe(ends_.data()));
    dup2(ends_[1], STDERR_FILENO);
  }
  ~piped_stderr() {
    dup2(kept_, STDERR_FILENO);
    close(kept_);
    close(ends_[0]);
    close(ends_[1]);
  }
  piped_stderr(const piped_stderr&) = delete;
  piped_stderr& operator=(const piped_stderr&) = delete;

  /// @return the current contents of the pipe
  std::string Drain() const {
    std::string text;
    std::array<char, 1 << 16> buffer{};
    pollfd waiting{.fd = ends_[0], .events = POLLIN, .revents = 0};
    while (poll(&waiting, 1, 0) == 1) {
      ssize_t size = read(ends_[0], buffer.data(), buffer.size());
      text.append(buffer.data(), static_cast<size_t>(size));
    }
    return text;
  }

 private:
  int kept_;
  std::array<int, 2> ends_{};
};

constexpr wall_time kTime{std::chrono::seconds(86'400) + std::chrono::microseconds(1'500)};

std::string Format(log_format format, const std::vector<log_field>& fields) {
  return FormatFact(format, kTime, log_level::kInfo, "task_refused", fields);
}

}  // namespace

TEST_GROUP(Logging) {
  instant now_;
  logging_options options_;
  void setup() override {
    options_.now = [this] { return now_; };
    options_.wall_now = [] { return kTime; };
  }
  void teardown() override { SetUpLogging({.level = log_level::kError}); }
};

TEST(Logging, WritesKeyValueLines) {
  STRCMP_EQUAL(
      "time=1970-01-02T00:00:00.001500Z level=info fact=task_refused job=4f-2 left=3 ok=true "
      "reason=\"no slot\"",
      Format(log_format::kKeyValue,
             {{"job", "4f-2"}, {"left", 3}, {"ok", true}, {"reason", "no slot"}})
          .c_str());
}

TEST(Logging, WritesJsonLines) {
  STRCMP_EQUAL(
      "{\"time\":\"1970-01-02T00:00:00.001500Z\",\"level\":\"info\",\"fact\":\"task_refused\","
      "\"job\":\"4f-2\",\"share\":0.5}",
      Format(log_format::kJson, {{"job", "4f-2"}, {"share", 0.5}}).c_str());
}

TEST(Logging, KeepsHostileValuesOnOneAsciiLine) {
  const std::string hostile = "a\nlevel=error \"\\\x01 sv\xc3\xa6rm \xff";
  for (log_format format : {log_format::kKeyValue, log_format::kJson}) {
    std::string line = Format(format, {{"body", hostile}, {"empty", ""}});
    CHECK(line.find('\n') == std::string::npos);
    CHECK(std::ranges::all_of(line, [](char c) { return c >= ' ' && c <= '~'; }));
  }
  auto read = nlohmann::json::parse(Format(log_format::kJson, {{"body", hostile}}));
  STRCMP_EQUAL("a\nlevel=error \"\\\x01 sv\xc3\xa6rm \xef\xbf\xbd",
               read["body"].get<std::string>().c_str());
}

TEST(Logging, CutsLongValuesAndRenamesReservedFields) {
  std::string line = Format(log_format::kKeyValue, {{"body", std::string(10'000, 'x')}});
  CHECK(line.size() < kMaxLoggedValueBytes + 200);
  CHECK(line.ends_with("xxx..."));
  CHECK(Format(log_format::kKeyValue, {{"level", "error"}}).ends_with(" field_level=error"));
}

TEST(Logging, RedactsSecrets) {
  secret token("hunter2");
  for (log_format format : {log_format::kKeyValue, log_format::kJson}) {
    std::string line = Format(format, {{"token", token}});
    CHECK(line.find("hunter2") == std::string::npos);
    CHECK(line.find(kRedacted) != std::string::npos);
  }
}

TEST(Logging, ParsesLevelsAndFormats) {
  CHECK(*ParseLogLevel("warning") == log_level::kWarning);
  CHECK(ErrorOf<logging_error>(ParseLogLevel("loud").status()) == logging_error::kUnknownLevel);
  CHECK(*ParseLogFormat("json") == log_format::kJson);
  CHECK(ErrorOf<logging_error>(ParseLogFormat("xml").status()) == logging_error::kUnknownFormat);
}

TEST(Logging, ChangesTheLevelAtRunTime) {
  captured_stderr captured;
  SetUpLogging(options_);
  LogFact(log_level::kDebug, "hidden");
  SetLogLevel(log_level::kDebug);
  CHECK(CurrentLogLevel() == log_level::kDebug);
  LogFact(log_level::kDebug, "shown", {{"n", 1}});
  SetLogLevel(log_level::kError);
  LogFact(log_level::kWarning, "hidden");
  STRCMP_EQUAL("time=1970-01-02T00:00:00.001500Z level=debug fact=shown n=1\n",
               captured.Read().c_str());
}

TEST(Logging, ReportsLinesDroppedByTheLimiter) {
  captured_stderr captured;
  options_.limit = {.burst = 1, .per_second = 1};
  SetUpLogging(options_);
  for (int i = 0; i < 4; ++i) {
    LogFact(log_level::kInfo, "refused");
  }
  now_ += std::chrono::seconds(1);
  LogFact(log_level::kInfo, "refused");
  LogFact(log_level::kInfo, "refused");
  ReportDroppedFacts();
  LONGS_EQUAL(4, DroppedLogLines());
  STRCMP_EQUAL(
      "time=1970-01-02T00:00:00.001500Z level=info fact=refused\n"
      "time=1970-01-02T00:00:00.001500Z level=info fact=refused dropped_before=3\n"
      "time=1970-01-02T00:00:00.001500Z level=warning fact=log_lines_dropped "
      "dropped_fact=refused lines=1\n",
      captured.Read().c_str());
}

TEST(Logging, WritesWholeLinesFromSeveralThreads) {
  constexpr int kThreads = 4;
  constexpr int kLines = 100;
  captured_stderr captured;
  options_.limit = {.burst = kThreads * kLines, .per_second = 0};
  SetUpLogging(options_);
  {
    std::vector<std::jthread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([] {
        for (int j = 0; j < kLines; ++j) {
          LogFact(log_level::kInfo, "step");
        }
      });
    }
  }
  const std::string line = "time=1970-01-02T00:00:00.001500Z level=info fact=step\n";
  std::string expected;
  for (int i = 0; i < kThreads * kLines; ++i) {
    expected += line;
  }
  STRCMP_EQUAL(expected.c_str(), captured.Read().c_str());
}

TEST(Logging, ASlowReaderDoesNotBlockLogging) {
  piped_stderr output;
  options_.limit = {.burst = 1e9, .per_second = 1e9};
  options_.format = log_format::kJson;
  SetUpLogging(options_);
  constexpr uint64_t kLines = 20'000;  // several times the capacity of a pipe
  for (uint64_t line = 0; line < kLines; ++line) {
    LogFact(log_level::kInfo, "task_refused", {{"number", line}});
  }
  std::string read = output.Drain();
  auto written = static_cast<uint64_t>(std::ranges::count(read, '\n'));
  CHECK(written > 0);
  CHECK(written < kLines);
  CHECK_EQUAL(kLines - written, DroppedLogLines());
  LogFact(log_level::kInfo, "task_refused");
  std::string later = output.Drain();
  nlohmann::json reported = nlohmann::json::parse(later.substr(0, later.find('\n')));
  STRCMP_EQUAL("log_lines_lost", reported["fact"].get<std::string>().c_str());
  CHECK_EQUAL(kLines - written, reported["lines"].get<uint64_t>());
}

}  // namespace wagtail
