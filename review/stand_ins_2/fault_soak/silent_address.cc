#include "review/stand_ins_2/fault_soak/silent_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/verify.h"

namespace wagtail::review {

silent_address::silent_address(const loopback_address& address) {
  sockaddr_in own{};
  own.sin_family = AF_INET;
  own.sin_port = htons(address.port);
  VERIFY(inet_pton(AF_INET, address.ip.c_str(), &own.sin_addr) == 1);
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  VERIFY(bind(listener_, reinterpret_cast<sockaddr*>(&own), sizeof(own)) == 0);
  VERIFY(listen(listener_, 0) == 0);
  for (int& filler : fillers_) {
    filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    static_cast<void>(connect(filler, reinterpret_cast<sockaddr*>(&own), sizeof(own)));
  }
}

silent_address::~silent_address() {
  for (int filler : fillers_) {
    close(filler);
  }
  close(listener_);
}

}  // namespace wagtail::review
