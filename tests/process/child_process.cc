#include "tests/process/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

#include "base/verify.h"

namespace wagtail {

namespace {

constexpr int kCannotExecute = 127;
constexpr int kFileMode = 0600;

std::string ReadAll(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Runs in the child between fork and exec, so it may only make system calls.
[[noreturn]] void Execute(const char* program, const char* settings, const char* environment,
                          const char* output, const char* errors) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(open(output, O_WRONLY | O_CREAT | O_APPEND, kFileMode), STDOUT_FILENO);
  dup2(open(errors, O_WRONLY | O_CREAT | O_APPEND, kFileMode), STDERR_FILENO);
  if (environment == nullptr) {
    execl(program, program, "--settings", settings, static_cast<char*>(nullptr));
  } else {
    std::array<char*, 2> variables = {const_cast<char*>(environment), nullptr};
    execle(program, program, static_cast<char*>(nullptr), variables.data());
  }
  _exit(kCannotExecute);
}

/// Pipe that shows when a child has begun to run its program: its write end is closed then.
class exec_pipe {
 public:
  exec_pipe() { VERIFY(pipe2(ends_.data(), O_CLOEXEC) == 0); }
  ~exec_pipe() { close(ends_[0]); }
  exec_pipe(const exec_pipe&) = delete;
  exec_pipe& operator=(const exec_pipe&) = delete;

  /// Called by the parent after the fork, once.
  void AwaitExec() {
    close(ends_[1]);
    char none = 0;
    while (read(ends_[0], &none, sizeof(none)) < 0 && errno == EINTR) {
    }
  }

 private:
  std::array<int, 2> ends_{};
};

}  // namespace

child_process::child_process(const std::string& program, const std::filesystem::path& folder,
                             const std::string& name, const std::string& settings,
                             settings_way source)
    : settings_path_(folder / (name + ".jsonc")),
      output_(folder / (name + ".out")),
      errors_(folder / (name + ".err")) {
  const char* bin = std::getenv("WAGTAIL_BIN");
  VERIFY(bin != nullptr);
  // An absolute path replaces the folder.
  std::string path = (std::filesystem::path(bin) / program).string();
  std::ofstream(settings_path_) << settings;
  if (source == settings_way::kOption) {
    std::ofstream(output_) << "";  // drops the output of an earlier process of the same name
  }
  std::string variable = "WAGTAILPLANK_NODE_FILE=" + settings_path_.string();
  const char* environment = source == settings_way::kNodeFile ? variable.c_str() : nullptr;
  exec_pipe executed;
  pid_ = fork();
  VERIFY(pid_ >= 0);
  if (pid_ == 0) {
    Execute(path.c_str(), settings_path_.c_str(), environment, output_.c_str(), errors_.c_str());
  }
  // Until then the child holds the listeners of the test, also while it is stopped.
  executed.AwaitExec();
}

child_process::~child_process() { End(); }

std::optional<child_ports> child_process::WaitListening() {
  child_ports ports;
  bool listens = Eventually([this, &ports] {
    std::string text = ReadAll(output_);
    unsigned http = 0;
    unsigned rpc = 0;
    if (std::sscanf(text.c_str(), "listening http=%u rpc=%u\n", &http, &rpc) == 2 ||
        std::sscanf(text.c_str(), "listening %u\n", &http) == 1) {
      ports = {.http = static_cast<uint16_t>(http), .rpc = static_cast<uint16_t>(rpc)};
      return text.ends_with('\n');
    }
    return !IsRunning();
  });
  return listens && ports.http != 0 ? std::optional(ports) : std::nullopt;
}

void child_process::Kill(int signal) {
  was_signalled_ = true;
  if (IsRunning()) {
    kill(pid_, signal);
  }
}

bool child_process::Reap(int flags) {
  if (exit_.has_value()) {
    return true;
  }
  int status = 0;
  if (waitpid(pid_, &status, flags) != pid_) {
    return false;
  }
  exit_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return true;
}

std::optional<int> child_process::WaitExit(duration timeout) {
  Eventually([this] { return Reap(WNOHANG); }, timeout);
  return exit_;
}

void child_process::End() {
  if (!Reap(WNOHANG)) {
    was_signalled_ = true;
    kill(pid_, SIGKILL);
    Reap(0);
  }
}

bool child_process::IsRunning() { return !Reap(WNOHANG); }

std::string child_process::StandardError() const { return ReadAll(errors_); }
std::string child_process::StandardOutput() const { return ReadAll(output_); }

}  // namespace wagtail
