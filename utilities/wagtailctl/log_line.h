#pragma once

#include <functional>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>

/// @file
/// Reads the JSON log lines of Wagtail's processes.

namespace wagtail {

/// One log line and the process that wrote it.
struct log_line {
  std::string process;    ///< name of the VM, or the source of the line
  nlohmann::json fields;  ///< an object that has `time` and `fact`

  /// @return a field as text; empty if the line has no such field
  std::string Text(const std::string& name) const;
  /// @return a field as a number; zero if the line has no such number
  double Number(const std::string& name) const;
};

/// Passes each log line to `take` and skips all other text. Text before the JSON of a line is taken
/// as a prefix whose last word names the process; without one, the last line that named its VM
/// does.
/// @param name of the source, used until a line names its process
void ReadLogLines(std::istream& log, const std::string& name,
                  const std::function<void(const log_line&)>& take);

}  // namespace wagtail
