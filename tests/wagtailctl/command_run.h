#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tests/wagtailctl/fake_entry.h"
#include "utilities/wagtailctl/command_line.h"
#include "utilities/wagtailctl/commands.h"

namespace wagtail {

/// A file in a new folder; the destructor removes both.
class temporary_file {
 public:
  explicit temporary_file(std::string_view text) {
    std::string folder = (std::filesystem::temp_directory_path() / "wagtailctl-XXXXXX").string();
    folder_ = mkdtemp(folder.data());
    std::ofstream(path()) << text;
  }
  ~temporary_file() { std::filesystem::remove_all(folder_); }
  temporary_file(const temporary_file&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;
  std::string path() const { return folder_ + "/file.jsonc"; }

 private:
  std::string folder_;
};

/// Exit code and output of one run of wagtailctl.
struct command_result {
  exit_code code = exit_code::kDone;
  std::string out;
  std::string err;
};

/// Runs commands against a fake entry on a virtual clock.
class command_run {
 public:
  command_result Run(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), {"--entry", "http://10.0.0.1:80"});
    return RunWithoutEntry(std::move(arguments));
  }

  command_result RunWithoutEntry(std::vector<std::string> arguments) {
    std::ostringstream out;
    std::ostringstream err;
    const auto parsed = ParseCommandLine(std::move(arguments), out, err);
    if (const auto* code = std::get_if<exit_code>(&parsed)) {
      return {.code = *code, .out = out.str(), .err = err.str()};
    }
    command_context context = {.http = [this](const http_call& call) { return RecordCall(call); },
                               .now = [this] { return now_; },
                               .sleep = [this](duration span) { now_ += span; },
                               .new_change_id = [] { return std::string("new-change"); },
                               .out = out,
                               .err = err,
                               .in = in};
    const exit_code code = RunCommand(std::get<command_line>(parsed), context);
    return {.code = code, .out = out.str(), .err = err.str()};
  }

  fake_entry entry;
  std::vector<http_call> calls;
  std::istringstream in;  ///< standard input of the commands

 private:
  absl::StatusOr<http_response> RecordCall(const http_call& call) {
    calls.push_back(call);
    return entry.Call(call);
  }

  instant now_{};
};

}  // namespace wagtail
