#include "sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace review {
namespace {

bool ParseAddress(const std::string& text, sockaddr_in& address) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1)));
  return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1;
}

int NewSocket() {
  int created = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(created, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  setsockopt(created, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return created;
}

}  // namespace

int ListenAt(const std::string& address, int backlog) {
  sockaddr_in parsed{};
  if (!ParseAddress(address, parsed)) {
    return -1;
  }
  int created = NewSocket();
  bool listening = bind(created, reinterpret_cast<sockaddr*>(&parsed), sizeof(parsed)) == 0 &&
                   listen(created, backlog) == 0;
  if (!listening) {
    close(created);
    return -1;
  }
  return created;
}

int ConnectTo(const std::string& address) {
  sockaddr_in parsed{};
  if (!ParseAddress(address, parsed)) {
    return -1;
  }
  int created = NewSocket();
  if (connect(created, reinterpret_cast<sockaddr*>(&parsed), sizeof(parsed)) != 0) {
    close(created);
    return -1;
  }
  return created;
}

}  // namespace review
