#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

#include "configuration/configuration_change.h"

namespace wagtail {

/// Exit codes of wagtailctl.
enum class exit_code { kDone = 0, kFailed = 1, kUsage = 2 };

enum class output_form { kHuman, kJson };

/// Whether a change command also waits until its version is in force.
enum class after_change { kReturn, kWaitInForce };

enum class command_name {
  kApply,
  kCheck,
  kDiff,
  kLeave,
  kReturn,
  kWait,
  kStatus,
  kTargets,
  kJobs,
  kCancel,
  kAudit,
  kExplain,
  kLosses,
  kFleet,
};

/// The parsed command line.
struct command_line {
  std::vector<std::string> entries;  ///< base URLs without a trailing slash
  std::string token_file;
  output_form form = output_form::kHuman;
  std::optional<std::chrono::seconds> timeout;  ///< for the whole command

  command_name command = command_name::kStatus;
  std::string file;                            ///< of apply, check and diff
  std::string subject;                         ///< of leave and return
  change_kind kind = change_kind::kApplyText;  ///< of apply, leave and return
  std::string job;                             ///< of cancel and explain
  std::vector<std::string> logs;               ///< of explain, losses, fleet; empty: standard input
  std::string svg_file;                        ///< of losses; empty: no picture
  int64_t interval_ms = 1000;                  ///< of losses
  uint64_t version = 0;                        ///< of wait; of audit, lists only later versions
  std::optional<uint64_t> base_version;        ///< of apply, leave and return
  std::string change_id;                       ///< of apply, leave and return; empty: generated
  after_change after = after_change::kReturn;
};

/// Parses the arguments, or prints the help, the version or a usage error.
/// @param arguments without the program name
/// @param out for help and version
/// @param err for errors
/// @return the command, or the exit code of the program
std::variant<command_line, exit_code> ParseCommandLine(std::vector<std::string> arguments,
                                                       std::ostream& out, std::ostream& err);

}  // namespace wagtail
