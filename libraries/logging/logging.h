#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <span>
#include <string_view>

#include "base/time.h"
#include "logging/fact_format.h"
#include "logging/log_level.h"
#include "logging/log_limiter.h"

/// @file
/// Structured logging of a process over log4cxx: one line per fact.

namespace wagtail {

enum class log_destination { kStandardError, kStandardOutput };

struct logging_options {
  log_format format = log_format::kKeyValue;
  log_level level = log_level::kInfo;
  log_destination destination = log_destination::kStandardError;
  log_limiter_options limit = {};
  clock_hook now = MonotonicNow;                                         ///< for the limiter
  std::function<wall_time()> wall_now = std::chrono::system_clock::now;  ///< for the time field
};

/// Starts or reconfigures the logging of this process. Until the first call no fact is written, so
/// that a program that embeds the libraries can choose.
void SetUpLogging(logging_options options);

/// Changes the level at run time; may be called from any thread.
void SetLogLevel(log_level level);

/// @return the lowest level that is written
log_level CurrentLogLevel();

/// Writes one line, unless its level is below the current one, the rate limiter drops it, or the
/// output would block: then it is counted and reported later by `log_lines_lost`. Never waits for a
/// reader. May be called from any thread.
/// @param fact name of the fact in snake case, a constant of the program
/// @param fields details of the event
void LogFact(log_level level, std::string_view fact, std::span<const log_field> fields);
void LogFact(log_level level, std::string_view fact, std::initializer_list<log_field> fields = {});

/// Writes a `log_lines_dropped` line per fact with unreported dropped lines. Daemons call it
/// periodically and before they exit.
void ReportDroppedFacts();

/// @return lines dropped by the limiter since SetUpLogging, and lines lost because the output would
///   have blocked
uint64_t DroppedLogLines();

}  // namespace wagtail
