#include "tests/support/relay_connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace wagtail {
namespace {

/// Reading from the source pauses beyond this, so that a slow destination throttles it.
constexpr size_t kMaxHeldBytes = 1 << 20;
constexpr size_t kReadBytes = 64 << 10;

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

}  // namespace

void relay_direction::Silence() {
  silent_ = true;
  chunks_.clear();
  held_bytes_ = 0;
}

bool relay_direction::wants_read() const { return !source_ended_ && held_bytes_ < kMaxHeldBytes; }

bool relay_direction::wants_write(instant now) const {
  return !chunks_.empty() && chunks_.front().due <= now;
}

std::optional<instant> relay_direction::next_due() const {
  return chunks_.empty() ? std::nullopt : std::optional(chunks_.front().due);
}

bool relay_direction::Receive(instant now, duration delay) {
  std::string bytes(kReadBytes, '\0');
  ssize_t count = recv(from_, bytes.data(), bytes.size(), 0);
  if (count < 0 && WouldBlock()) {
    return true;
  }
  source_ended_ = count <= 0;
  if (silent_) {
    return true;
  }
  if (count < 0) {
    return false;
  }
  bytes.resize(static_cast<size_t>(count));
  held_bytes_ += bytes.size();
  chunks_.push_back({.due = now + delay, .bytes = std::move(bytes)});
  return true;
}

bool relay_direction::Send(instant now) {
  while (wants_write(now)) {
    std::string& bytes = chunks_.front().bytes;
    if (bytes.empty()) {
      chunks_.pop_front();
      finished_ = true;
      return shutdown(to_, SHUT_WR) == 0;
    }
    ssize_t count = send(to_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0) {
      return WouldBlock();
    }
    auto sent = static_cast<size_t>(count);
    held_bytes_ -= sent;
    if (sent < bytes.size()) {
      bytes.erase(0, sent);
      return true;
    }
    chunks_.pop_front();
  }
  return true;
}

relay_connection::relay_connection(int client, int server)
    : client_(client), server_(server), up_(client, server), down_(server, client) {}

relay_connection::~relay_connection() {
  close(client_);
  close(server_);
}

void relay_connection::Silence() {
  silent_ = true;
  up_.Silence();
  down_.Silence();
}

void relay_connection::SilenceAnswers() {
  silent_ = true;
  down_.Silence();
}

std::array<pollfd, 2> relay_connection::PollEntries(instant now) const {
  auto wanted = [now](int descriptor, const relay_direction& out, const relay_direction& in) {
    int events = (out.wants_read() ? POLLIN : 0) | (in.wants_write(now) ? POLLOUT : 0);
    // poll() reports errors of every descriptor, so descriptors without requested events are
    // excluded.
    return pollfd{
        .fd = events == 0 ? -1 : descriptor, .events = static_cast<short>(events), .revents = 0};
  };
  return {wanted(client_, up_, down_), wanted(server_, down_, up_)};
}

std::optional<instant> relay_connection::next_due() const {
  auto up = up_.next_due();
  auto down = down_.next_due();
  if (up.has_value() && down.has_value()) {
    return std::min(*up, *down);
  }
  return up.has_value() ? up : down;
}

bool relay_connection::Forward(const pollfd& client, const pollfd& server, instant now,
                               duration up_delay, duration down_delay) {
  constexpr int kReadable = POLLIN | POLLERR | POLLHUP;
  bool is_open = true;
  if ((client.revents & kReadable) != 0 && up_.wants_read()) {
    is_open = up_.Receive(now, up_delay) && is_open;
  }
  if ((server.revents & kReadable) != 0 && down_.wants_read()) {
    is_open = down_.Receive(now, down_delay) && is_open;
  }
  is_open = up_.Send(now) && is_open;
  is_open = down_.Send(now) && is_open;
  return silent_ || (is_open && !(up_.finished() && down_.finished()));
}

}  // namespace wagtail
