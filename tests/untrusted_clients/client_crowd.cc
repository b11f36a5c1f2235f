#include "tests/untrusted_clients/client_crowd.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "tests/process/polling.h"

namespace wagtail {
namespace {

constexpr int kPollTimeoutMs = 20;
/// Keeps bytes that the server has not read out of the test's own kernel buffers.
constexpr int kSendBufferBytes = 65'536;
/// Small enough that all clients send in turn rather than one after the other.
constexpr size_t kSendBytes = 16'384;
constexpr size_t kReadBytes = 4096;
constexpr unsigned kMaxConnects = 3;
constexpr duration kQuietTime = std::chrono::milliseconds(500);
constexpr duration kQuietTimeout = std::chrono::seconds(15);

}  // namespace

size_t crowd_script::SizeWith(std::string_view own_head) const {
  return own_head.size() + piece.size() * pieces + tail.size();
}

std::string_view crowd_script::From(std::string_view own_head, size_t position) const {
  if (position < own_head.size()) {
    return own_head.substr(position);
  }
  position -= own_head.size();
  if (position < piece.size() * pieces) {
    return std::string_view(piece).substr(position % piece.size());
  }
  return std::string_view(tail).substr(position - piece.size() * pieces);
}

client_crowd::client_crowd(const loopback_address& to, size_t clients, crowd_script script)
    : to_(to), script_(std::move(script)), clients_(clients) {
  std::ranges::for_each(clients_, [this](client& each) { Connect(each); });
  thread_ = std::jthread([this] { Run(); });
}

client_crowd::~client_crowd() {
  stopping_ = true;
  thread_.join();
  for (const client& each : clients_) {
    if (each.socket >= 0) {
      close(each.socket);
    }
  }
}

void client_crowd::WaitUntilQuiet() const {
  size_t seen = progress_;
  instant since = MonotonicNow();
  auto is_quiet = [&] {
    if (std::exchange(seen, progress_.load()) != seen) {
      since = MonotonicNow();
    }
    return MonotonicNow() - since >= kQuietTime;
  };
  Eventually(is_quiet, kQuietTimeout);
}

void client_crowd::Run() {
  std::vector<pollfd> polled(clients_.size());
  while (!stopping_) {
    size_t open = 0;
    for (size_t index = 0; index < clients_.size(); ++index) {
      const client& each = clients_[index];
      bool is_sending = each.sent < script_.SizeWith(each.head);
      polled[index] = {.fd = each.socket,
                       .events = static_cast<short>(is_sending ? POLLIN | POLLOUT : POLLIN),
                       .revents = 0};
      open += each.socket >= 0 ? 1 : 0;
    }
    open_connections_ = open;
    poll(polled.data(), polled.size(), kPollTimeoutMs);
    for (size_t index = 0; index < clients_.size(); ++index) {
      Serve(clients_[index], polled[index].revents);
    }
  }
}

void client_crowd::Connect(client& connecting) {
  if (connecting.socket >= 0) {
    close(std::exchange(connecting.socket, -1));
  }
  if (connecting.connects++ == kMaxConnects) {
    return;
  }
  connecting.head = script_.head_of ? script_.head_of(next_connection_++) : script_.head;
  connecting.sent = 0;
  connecting.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  setsockopt(connecting.socket, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof(kSendBufferBytes));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to_.port);
  inet_pton(AF_INET, to_.ip.c_str(), &address.sin_addr);
  // The result shows when the socket is polled.
  static_cast<void>(
      connect(connecting.socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
}

void client_crowd::Serve(client& served, short events) {
  bool has_news = (events & (POLLIN | POLLHUP | POLLERR)) != 0;
  if (has_news && !DiscardAnswers(served)) {
    ++progress_;
    Connect(served);
    return;
  }
  if ((events & POLLOUT) != 0) {
    SendSome(served);
  }
}

void client_crowd::SendSome(client& sending) {
  std::string_view bytes = script_.From(sending.head, sending.sent).substr(0, kSendBytes);
  ssize_t sent = send(sending.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent > 0) {
    sending.sent += static_cast<size_t>(sent);
    ++progress_;
  }
}

bool client_crowd::DiscardAnswers(const client& receiving) {
  std::array<char, kReadBytes> discarded{};
  ssize_t count = recv(receiving.socket, discarded.data(), discarded.size(), 0);
  progress_ += count > 0 ? 1 : 0;
  return count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR));
}

}  // namespace wagtail
