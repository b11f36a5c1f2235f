#include "base/identifiers.h"

#include <xxhash.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace wagtail {

std::string ToString(const job_key& key) {
  return absl::StrFormat("%016x-%x", key.owner.nonce, key.sequence);
}

std::string ToString(const target_incarnation& incarnation) {
  return absl::StrCat(incarnation.target, "#", incarnation.number);
}

uint64_t DigestOf(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

}  // namespace wagtail
