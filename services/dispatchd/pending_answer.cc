#include "services/dispatchd/pending_answer.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "base/verify.h"

namespace wagtail::leased {
bool IsCallerGone(int socket) {
  if (socket < 0) {
    return false;
  }
  char byte = 0;
  ssize_t got = recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

pending_answer::pending_answer() : wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  VERIFY(wake_ >= 0);
}

pending_answer::~pending_answer() { close(wake_); }

void pending_answer::Answer(job_answer answer) {
  {
    std::lock_guard lock(mutex_);
    answer_ = std::move(answer);
  }
  uint64_t one = 1;
  VERIFY(write(wake_, &one, sizeof(one)) == sizeof(one));
}

std::optional<job_answer> pending_answer::Take() {
  std::lock_guard lock(mutex_);
  return std::exchange(answer_, std::nullopt);
}

std::optional<job_answer> pending_answer::Wait(int socket, duration limit) {
  instant end = MonotonicNow() + limit;
  // A caller that sends more bytes ahead is only watched for its hang-up.
  std::array<pollfd, 2> watched = {{{.fd = wake_, .events = POLLIN, .revents = 0},
                                    {.fd = socket, .events = POLLIN | POLLRDHUP, .revents = 0}}};
  while (true) {
    int64_t left = ToMilliseconds(end - MonotonicNow());
    if (left <= 0) {
      return Take();
    }
    int ready = poll(watched.data(), watched.size(), static_cast<int>(left) + 1);
    if (ready < 0 && errno != EINTR) {
      return Take();
    }
    if (watched[0].revents != 0) {
      return Take();
    }
    if (watched[1].revents != 0) {
      if (IsCallerGone(socket)) {
        return Take();
      }
      watched[1].events = POLLRDHUP;
    }
  }
}

}  // namespace wagtail::leased
