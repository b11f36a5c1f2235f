#pragma once

#include <csignal>

namespace wagtail {

/// The signals that ask a daemon to stop: SIGTERM and SIGINT. Made first in main, before any
/// thread, so that every thread leaves them to Wait().
class stop_signal {
 public:
  stop_signal();
  /// Returns when one of the signals has come.
  void Wait();

 private:
  sigset_t signals_{};
};

}  // namespace wagtail
