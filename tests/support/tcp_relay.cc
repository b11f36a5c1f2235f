#include "tests/support/tcp_relay.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>
#include <vector>

#include "base/verify.h"

namespace wagtail {
namespace {

constexpr int kBacklog = 128;
constexpr duration kMaxPollTime = std::chrono::seconds(1);

sockaddr_in SocketAddress(const loopback_address& where) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(where.port);
  VERIFY(inet_pton(AF_INET, where.ip.c_str(), &address.sin_addr) == 1);
  return address;
}

int NewSocket() {
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  VERIFY(descriptor >= 0);
  return descriptor;
}

int BoundSocket(const loopback_address& where) {
  int descriptor = NewSocket();
  constexpr int kOn = 1;
  VERIFY(setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &kOn, sizeof(kOn)) == 0);
  sockaddr_in address = SocketAddress(where);
  VERIFY(bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  return descriptor;
}

uint16_t PortOf(int descriptor) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  VERIFY(getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0);
  return ntohs(address.sin_port);
}

void DisableNagle(int descriptor) {
  constexpr int kOn = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof(kOn));
}

timespec TimespecOf(duration span) {
  auto seconds = std::chrono::duration_cast<std::chrono::seconds>(span);
  return {.tv_sec = static_cast<time_t>(seconds.count()),
          .tv_nsec = std::chrono::nanoseconds(span - seconds).count()};
}

}  // namespace

tcp_relay::tcp_relay(uint16_t destination) : tcp_relay(loopback_address{}, {.port = destination}) {}

tcp_relay::tcp_relay(const loopback_address& listen, const loopback_address& destination)
    : listen_(listen), destination_(destination) {
  placeholder_ = BoundSocket(listen_);
  listen_.port = PortOf(placeholder_);
  port_ = listen_.port;
  wake_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  VERIFY(wake_ >= 0);
  Listen();
  thread_ = std::jthread([this] { Run(); });
}

tcp_relay::~tcp_relay() {
  {
    std::lock_guard lock(mutex_);
    ending_ = true;
  }
  Wake();
  thread_.join();
  if (listener_ >= 0) {
    close(listener_);
  }
  close(placeholder_);
  close(wake_);
}

void tcp_relay::SetMode(relay_mode mode) {
  std::unique_lock lock(mutex_);
  mode_ = mode;
  mode_pending_ = true;
  Wake();
  applied_.wait(lock, [this] { return !mode_pending_; });
}

void tcp_relay::SetDestination(uint16_t destination) {
  std::lock_guard lock(mutex_);
  destination_.port = destination;
}

void tcp_relay::SetDelay(duration up, duration down) {
  std::lock_guard lock(mutex_);
  up_delay_ = up;
  down_delay_ = down;
}

size_t tcp_relay::open_connections() const {
  std::lock_guard lock(mutex_);
  return connections_.size();
}

void tcp_relay::Wake() const {
  uint64_t one = 1;
  VERIFY(write(wake_, &one, sizeof(one)) == sizeof(one));
}

void tcp_relay::Listen() {
  listener_ = BoundSocket(listen_);
  VERIFY(listen(listener_, kBacklog) == 0);
}

void tcp_relay::Run() {
  while (true) {
    {
      std::lock_guard lock(mutex_);
      if (ending_) {
        return;
      }
      if (mode_pending_) {
        ApplyMode();
      }
    }
    Poll();
  }
}

void tcp_relay::ApplyMode() {
  if (listener_ >= 0) {
    Accept();
  }
  if (mode_ == relay_mode::kSilent || mode_ == relay_mode::kBlackHole) {
    std::ranges::for_each(connections_, &relay_connection::Silence);
  }
  if (mode_ == relay_mode::kOneWay) {
    std::ranges::for_each(connections_, &relay_connection::SilenceAnswers);
  }
  if (mode_ == relay_mode::kCut) {
    connections_.clear();
    close(std::exchange(listener_, -1));
  } else if (listener_ < 0) {
    Listen();
  }
  mode_pending_ = false;
  applied_.notify_all();
}

void tcp_relay::Accept() {
  while (true) {
    int client = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
      return;
    }
    int server = NewSocket();
    DisableNagle(client);
    DisableNagle(server);
    sockaddr_in address = SocketAddress(destination_);
    // A failure is reported by the first read of the socket.
    static_cast<void>(connect(server, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    connections_.emplace_back(client, server);
    if (mode_ == relay_mode::kBlackHole && !mode_pending_) {
      connections_.back().Silence();
    }
  }
}

void tcp_relay::Poll() {
  std::vector<pollfd> wanted;
  duration pause = kMaxPollTime;
  {
    std::lock_guard lock(mutex_);
    instant now = MonotonicNow();
    wanted.push_back({.fd = wake_, .events = POLLIN, .revents = 0});
    wanted.push_back({.fd = listener_, .events = POLLIN, .revents = 0});
    for (const relay_connection& connection : connections_) {
      std::ranges::copy(connection.PollEntries(now), std::back_inserter(wanted));
      auto due = connection.next_due();
      if (due.has_value() && *due > now) {
        pause = std::min(pause, *due - now);
      }
    }
  }
  timespec timeout = TimespecOf(pause);
  ppoll(wanted.data(), wanted.size(), &timeout, nullptr);

  std::lock_guard lock(mutex_);
  if (wanted[0].revents != 0) {
    uint64_t count = 0;
    VERIFY(read(wake_, &count, sizeof(count)) == sizeof(count));
  }
  instant now = MonotonicNow();
  size_t index = 2;
  // Only this thread adds and removes connections, so the list still matches the polled entries.
  for (auto connection = connections_.begin(); connection != connections_.end(); index += 2) {
    bool open = connection->Forward(wanted[index], wanted[index + 1], now, up_delay_, down_delay_);
    connection = open ? std::next(connection) : connections_.erase(connection);
  }
  if (listener_ >= 0 && wanted[1].revents != 0) {
    Accept();
  }
}

}  // namespace wagtail
