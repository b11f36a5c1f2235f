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
namespace {

/// Holds also while bytes that the caller has sent are unread.
bool HasHungUp(const pollfd& polled) {
  return (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace

bool IsCallerGone(int socket) {
  if (socket < 0) {
    return false;
  }
  char byte = 0;
  ssize_t received = recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR);
}

pending_answer::pending_answer() : event_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  VERIFY(event_fd_ >= 0);
}

pending_answer::~pending_answer() { close(event_fd_); }

void pending_answer::SetAnswer(job_answer answer) {
  {
    std::lock_guard lock(mutex_);
    answer_ = std::move(answer);
  }
  uint64_t one = 1;
  VERIFY(write(event_fd_, &one, sizeof(one)) == sizeof(one));
}

std::optional<job_answer> pending_answer::TakeAnswer() {
  std::lock_guard lock(mutex_);
  return std::exchange(answer_, std::nullopt);
}

std::optional<job_answer> pending_answer::Wait(int socket, duration timeout) {
  instant end = MonotonicNow() + timeout;
  // Once a caller has sent further bytes ahead of time, poll only for its hang-up.
  std::array<pollfd, 2> poll_fds = {{{.fd = event_fd_, .events = POLLIN, .revents = 0},
                                     {.fd = socket, .events = POLLIN | POLLRDHUP, .revents = 0}}};
  while (true) {
    int64_t remaining = ToMilliseconds(end - MonotonicNow());
    if (remaining <= 0) {
      return TakeAnswer();
    }
    int ready = poll(poll_fds.data(), poll_fds.size(), static_cast<int>(remaining) + 1);
    if (ready < 0 && errno != EINTR) {
      return TakeAnswer();
    }
    if (poll_fds[0].revents != 0) {
      return TakeAnswer();
    }
    if (HasHungUp(poll_fds[1]) || (poll_fds[1].revents != 0 && IsCallerGone(socket))) {
      return TakeAnswer();
    }
    if (poll_fds[1].revents != 0) {
      poll_fds[1].events = POLLRDHUP;
    }
  }
}

}  // namespace wagtail::leased
