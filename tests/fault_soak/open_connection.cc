#include "tests/fault_soak/open_connection.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <utility>

#include "absl/strings/ascii.h"

namespace wagtail::leased {
namespace {

constexpr size_t kReadBytes = 4096;
/// Limit on connecting and on sending: a peer that accepts or reads nothing must not block the
/// test.
constexpr timeval kSendTimeout{.tv_sec = 5, .tv_usec = 0};
constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// @return the Content-Length of the head, or 0 without one
size_t BodyLength(const std::string& head) {
  constexpr std::string_view kField = "\r\ncontent-length:";
  std::string lower = absl::AsciiStrToLower(head);
  size_t position = lower.find(kField);
  return position == std::string::npos
             ? 0
             : std::strtoul(&lower[position + kField.size()], nullptr, 10);
}

}  // namespace

void open_connection::Close() {
  if (socket_ >= 0) {
    close(std::exchange(socket_, -1));
  }
}

bool open_connection::Connect() {
  if (socket_ >= 0) {
    return true;
  }
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &kSendTimeout, sizeof(kSendTimeout));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to_.port);
  inet_pton(AF_INET, to_.ip.c_str(), &address.sin_addr);
  if (connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    Close();
  }
  return socket_ >= 0;
}

bool open_connection::ReadMore(std::string& text, instant deadline) const {
  int remaining = static_cast<int>(ToMilliseconds(deadline - MonotonicNow()));
  pollfd readable{.fd = socket_, .events = POLLIN, .revents = 0};
  if (remaining <= 0 || poll(&readable, 1, remaining) <= 0) {
    return false;
  }
  std::array<char, kReadBytes> bytes{};
  ssize_t count = recv(socket_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  text.append(bytes.data(), static_cast<size_t>(count));
  return true;
}

std::optional<open_connection::answer> open_connection::SendRequest(const std::string& request,
                                                                    duration timeout) {
  instant deadline = MonotonicNow() + timeout;
  bool sent = Connect() && send(socket_, request.data(), request.size(), MSG_NOSIGNAL) ==
                               static_cast<ssize_t>(request.size());
  std::string text;
  size_t head_end = std::string::npos;
  while (sent) {
    head_end = text.find(kHeadEnd);
    if (head_end != std::string::npos &&
        text.size() >= head_end + kHeadEnd.size() + BodyLength(text.substr(0, head_end))) {
      break;
    }
    sent = ReadMore(text, deadline);
  }
  constexpr size_t kStatusAt = sizeof("HTTP/1.1");
  if (!sent || text.size() < kStatusAt) {
    Close();
    return std::nullopt;
  }
  std::string head = absl::AsciiStrToLower(text.substr(0, head_end));
  if (head.find("connection: close") != std::string::npos) {
    Close();
  }
  return answer{.status = std::atoi(&text[kStatusAt]),
                .body = text.substr(head_end + kHeadEnd.size())};
}

}  // namespace wagtail::leased
