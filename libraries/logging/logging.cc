#include "logging/logging.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <climits>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wagtail {

namespace {

/// Above every level: no line is written.
constexpr int kOff = static_cast<int>(log_level::kError) + 1;

struct logging_state {
  std::atomic<int> min_level = kOff;
  std::mutex mutex;  ///< guards the members below
  logging_options options;
  std::optional<log_limiter> limiter;
  uint64_t lost = 0;  ///< lines lost to a full output since the last line written
  uint64_t lost_total = 0;
  log4cxx::LoggerPtr logger;
};

logging_state& State() {
  // Never destroyed, since detached threads may log until the process ends.
  static auto& state = *new logging_state;
  return state;
}

log4cxx::LevelPtr ToLibraryLevel(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return log4cxx::Level::getDebug();
    case log_level::kInfo:
      return log4cxx::Level::getInfo();
    case log_level::kWarning:
      return log4cxx::Level::getWarn();
    case log_level::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getOff();
}

log4cxx::LoggerPtr MakeLogger(log_destination destination) {
  // The line is already formatted, so the layout adds only the line end.
  auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  auto target = destination == log_destination::kStandardError
                    ? log4cxx::ConsoleAppender::getSystemErr()
                    : log4cxx::ConsoleAppender::getSystemOut();
  log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("wagtail");
  logger->removeAllAppenders();
  logger->setAdditivity(false);
  logger->setLevel(log4cxx::Level::getAll());
  logger->addAppender(std::make_shared<log4cxx::ConsoleAppender>(layout, target));
  return logger;
}

/// @return whether a whole line can be written without blocking. A slow reader must not block the
///   process.
bool IsWritable(log_destination destination) {
  pollfd output{
      .fd = destination == log_destination::kStandardError ? STDERR_FILENO : STDOUT_FILENO,
      .events = POLLOUT,
      .revents = 0};
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/// @pre the state's mutex is held
void WriteLine(logging_state& state, log_level level, std::string_view fact,
               std::span<const log_field> fields) {
  if (!IsWritable(state.options.destination)) {
    ++state.lost;
    ++state.lost_total;
    return;
  }
  if (state.lost > 0) {
    std::vector<log_field> lost = {{"lines", std::exchange(state.lost, 0)}};
    WriteLine(state, log_level::kWarning, "log_lines_lost", lost);
  }
  std::string line =
      FormatFact(state.options.format, state.options.wall_now(), level, fact, fields);
  // A writable pipe accepts this many bytes without blocking.
  if (line.size() >= PIPE_BUF) {
    std::vector<log_field> length = {{"of", fact}, {"bytes", line.size()}};
    line = FormatFact(state.options.format, state.options.wall_now(), log_level::kWarning,
                      "log_line_too_long", length);
  }
  state.logger->forcedLogLS(ToLibraryLevel(level), line, LOG4CXX_LOCATION);
}

}  // namespace

void SetUpLogging(logging_options options) {
  logging_state& state = State();
  std::lock_guard lock(state.mutex);
  state.logger = MakeLogger(options.destination);
  state.limiter.emplace(options.limit);
  state.lost = 0;
  state.lost_total = 0;
  state.options = std::move(options);
  state.min_level = static_cast<int>(state.options.level);
}

void SetLogLevel(log_level level) {
  logging_state& state = State();
  std::lock_guard lock(state.mutex);
  if (state.logger) {
    state.min_level = static_cast<int>(level);
  }
}

log_level CurrentLogLevel() {
  int level = State().min_level;
  return level == kOff ? log_level::kError : static_cast<log_level>(level);
}

void LogFact(log_level level, std::string_view fact, std::span<const log_field> fields) {
  logging_state& state = State();
  if (static_cast<int>(level) < state.min_level) {
    return;
  }
  std::lock_guard lock(state.mutex);
  std::optional<uint64_t> dropped = state.limiter->Admit(fact, state.options.now());
  if (!dropped.has_value()) {
    return;
  }
  if (*dropped == 0) {
    WriteLine(state, level, fact, fields);
    return;
  }
  std::vector<log_field> extended(fields.begin(), fields.end());
  extended.push_back({.name = "dropped_before", .value = *dropped});
  WriteLine(state, level, fact, extended);
}

void LogFact(log_level level, std::string_view fact, std::initializer_list<log_field> fields) {
  LogFact(level, fact, std::span(fields.begin(), fields.size()));
}

void ReportDroppedFacts() {
  logging_state& state = State();
  std::lock_guard lock(state.mutex);
  if (!state.limiter.has_value()) {
    return;
  }
  for (const log_limiter::dropped_fact& dropped : state.limiter->TakeDropped()) {
    std::vector<log_field> fields = {{"dropped_fact", dropped.fact}, {"lines", dropped.lines}};
    WriteLine(state, log_level::kWarning, "log_lines_dropped", fields);
  }
}

uint64_t DroppedLogLines() {
  logging_state& state = State();
  std::lock_guard lock(state.mutex);
  return state.lost_total + (state.limiter.has_value() ? state.limiter->dropped_total() : 0);
}

}  // namespace wagtail
