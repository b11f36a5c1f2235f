#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "tests/process/polling.h"

/// @file
/// A program of this project as a child process of the test.

namespace wagtail {

struct child_ports {
  uint16_t http = 0;
  uint16_t rpc = 0;  ///< 0: the program has none
};

/// How the path of the settings file is passed to a program.
enum class settings_way {
  kOption,   ///< --settings FILE
  kNodeFile  ///< the environment variable of the users' platform
};

/// Runs a program of $WAGTAIL_BIN with a settings file. The destructor kills it.
class child_process {
 public:
  /// @param program file name under $WAGTAIL_BIN, or an absolute path
  /// @param folder of the settings and the output of the program
  /// @param name of the files in the folder
  /// @param settings text of the settings file
  child_process(const std::string& program, const std::filesystem::path& folder,
                const std::string& name, const std::string& settings,
                settings_way source = settings_way::kOption);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Waits until the program prints its ports.
  /// @return empty if it exited or the wait timed out
  std::optional<child_ports> WaitListening();
  void Kill(int signal);
  /// Waits for the exit of the program, signalled or not.
  /// @return the exit code, or minus the terminating signal; empty if it still runs
  std::optional<int> WaitExit(duration timeout = kWaitTimeout);
  /// Sends SIGKILL and reaps.
  void End();
  bool IsRunning();
  /// @return whether the test sent a signal to this process
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
