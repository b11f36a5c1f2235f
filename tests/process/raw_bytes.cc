#include "tests/process/raw_bytes.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace wagtail {

namespace {

constexpr int kReadTimeoutMs = 500;
constexpr size_t kReadBytes = 4096;

}  // namespace

bool SendRawBytes(uint16_t port, std::string_view bytes) {
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(port);
  peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool is_connected =
      connect(descriptor, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) == 0;
  if (is_connected) {
    // The peer may close before it has read everything.
    (void)send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    shutdown(descriptor, SHUT_WR);
    std::array<char, kReadBytes> ignored{};
    pollfd readable{.fd = descriptor, .events = POLLIN, .revents = 0};
    while (poll(&readable, 1, kReadTimeoutMs) == 1 &&
           recv(descriptor, ignored.data(), ignored.size(), 0) > 0) {
    }
  }
  close(descriptor);
  return is_connected;
}

}  // namespace wagtail
