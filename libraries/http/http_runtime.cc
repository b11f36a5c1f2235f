#include "http/http_runtime.h"

#include <ulfius.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <mutex>

#include "base/verify.h"

namespace wagtail {

void InitialiseHttpOnce() {
  static std::once_flag once;
  std::call_once(once, [] {
    VERIFY(ulfius_global_init() == U_OK);
    // ulfius has no option that makes libcurl ignore proxies set in the environment.
    VERIFY(setenv("no_proxy", "*", 1) == 0);
    VERIFY(std::signal(SIGPIPE, SIG_IGN) != SIG_ERR);
  });
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
  });
  return lower;
}

}  // namespace wagtail
