#pragma once

#include <csignal>

namespace wagtail {

/// Signals that stop a daemon: SIGTERM and SIGINT. Construct it first in main, before any thread,
/// so that every thread inherits the blocked mask and only Wait() receives them.
class stop_signal {
 public:
  stop_signal();
  /// Blocks until one of the signals arrives.
  void Wait();

 private:
  sigset_t signals_{};
};

}  // namespace wagtail
