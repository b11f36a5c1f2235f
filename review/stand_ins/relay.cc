#include "relay.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>

#include "sockets.h"

namespace review {
namespace {

constexpr int kBacklog = 128;
constexpr int kPollMs = 20;
constexpr size_t kBufferSize = 65536;

/// @return whether the connection goes on
bool Pass(int from, int to, bool silent) {
  std::array<char, kBufferSize> bytes{};
  ssize_t received = recv(from, bytes.data(), bytes.size(), 0);
  if (received <= 0) {
    return false;
  }
  ssize_t sent = 0;
  while (!silent && sent < received) {
    ssize_t written =
        send(to, bytes.data() + sent, static_cast<size_t>(received - sent), MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    sent += written;
  }
  return true;
}

}  // namespace

relay::~relay() {
  int listener = listener_.exchange(-1);
  if (listener < 0) {
    return;
  }
  shutdown(listener, SHUT_RDWR);
  acceptor_.join();
  close(listener);
  while (threads_ > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

bool relay::Start(const std::string& from, const std::string& to) {
  to_ = to;
  int created = ListenAt(from, kBacklog);
  if (created < 0) {
    return false;
  }
  listener_ = created;
  acceptor_ = std::thread([this] { Accept(); });
  return true;
}

size_t relay::SilenceOpenConnections() {
  std::lock_guard lock(mutex_);
  for (pair* each : open_) {
    each->silent = true;
  }
  return open_.size();
}

void relay::Accept() {
  while (true) {
    int listener = listener_;
    int near = listener < 0 ? -1 : accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (near < 0) {
      return;
    }
    int far = ConnectTo(to_);
    if (far < 0) {
      close(near);
      continue;
    }
    ++threads_;
    std::thread([this, near, far] {
      pair connection{.near = near, .far = far};
      Forward(connection);
      close(near);
      close(far);
      --threads_;
    }).detach();
  }
}

void relay::Forward(pair& connection) {
  {
    std::lock_guard lock(mutex_);
    open_.insert(&connection);
  }
  bool going = true;
  while (going && listener_ >= 0) {
    std::array<pollfd, 2> ends = {{{.fd = connection.near, .events = POLLIN, .revents = 0},
                                   {.fd = connection.far, .events = POLLIN, .revents = 0}}};
    if (poll(ends.data(), ends.size(), kPollMs) <= 0) {
      continue;
    }
    if (ends[0].revents != 0) {
      going = Pass(connection.near, connection.far, connection.silent);
    }
    if (going && ends[1].revents != 0) {
      going = Pass(connection.far, connection.near, connection.silent);
    }
  }
  std::lock_guard lock(mutex_);
  open_.erase(&connection);
}

}  // namespace review
