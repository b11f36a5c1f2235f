#include "tests/fault_soak/address_prefix.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "base/verify.h"

namespace wagtail::leased {

std::string ReserveAddressPrefix() {
  constexpr unsigned kFirst = 20;
  constexpr unsigned kLast = 250;
  for (unsigned number = kFirst; number <= kLast; ++number) {
    std::string prefix = absl::StrCat("127.", number, ".");
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kSessionPort);
    VERIFY(inet_pton(AF_INET, (prefix + "1.9").c_str(), &address.sin_addr) == 1);
    int reservation = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(reservation, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
      return prefix;
    }
    close(reservation);
  }
  VERIFY_NOT_REACHED();
}

}  // namespace wagtail::leased
