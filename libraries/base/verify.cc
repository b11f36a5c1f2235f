#include "base/verify.h"

#include <cstdio>
#include <cstdlib>

namespace wagtail {

void FailVerify(std::string_view condition, std::string_view file, int line) {
  std::fprintf(stderr, "invariant broken: %.*s (%.*s:%d)\n", static_cast<int>(condition.size()),
               condition.data(), static_cast<int>(file.size()), file.data(), line);
  std::abort();
}

}  // namespace wagtail
