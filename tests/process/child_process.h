#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "tests/process/polling.h"

/// @file
/// One of our own programs as a child of the test.

namespace wagtail {

struct child_ports {
  uint16_t http = 0;
  uint16_t rpc = 0;  ///< 0: the program has none
};

/// How a program learns of its settings file.
enum class settings_way {
  kOption,   ///< --settings FILE
  kNodeFile  ///< the environment variable of the users' platform
};

/// Runs a program of $WAGTAIL_BIN with a settings file. Ends it with the object.
class child_process {
 public:
  /// @param program file name under $WAGTAIL_BIN
  /// @param folder takes the settings and what the program prints
  /// @param name of the files in it
  /// @param settings text of the settings file
  child_process(const std::string& program, const std::filesystem::path& folder,
                const std::string& name, const std::string& settings,
                settings_way way = settings_way::kOption);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Waits for the line in which the program says where it listens.
  /// @return empty if it ended, or didn't say so in time
  std::optional<child_ports> WaitListening();
  void Kill(int signal);
  /// Waits for the end after a signal, or of its own accord.
  /// @return the exit code, or minus the signal that ended it; empty when it still runs
  std::optional<int> WaitExit(duration limit = kPatience);
  /// Sends SIGKILL and reaps.
  void End();
  bool IsRunning();
  /// @return whether the test asked this process to end
  bool was_signalled() const { return was_signalled_; }
  std::string StandardError() const;
  std::string StandardOutput() const;
  const std::filesystem::path& settings_path() const { return settings_path_; }
  pid_t pid() const { return pid_; }

 private:
  bool Reap(int flags);

  pid_t pid_ = -1;
  std::filesystem::path settings_path_;
  std::filesystem::path output_;
  std::filesystem::path errors_;
  bool was_signalled_ = false;
  std::optional<int> exit_;
};

}  // namespace wagtail
