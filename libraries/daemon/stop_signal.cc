#include "daemon/stop_signal.h"

namespace wagtail {

stop_signal::stop_signal() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
}

void stop_signal::Wait() {
  int received = 0;
  sigwait(&signals_, &received);
}

}  // namespace wagtail
