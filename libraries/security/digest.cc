#include "security/digest.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include "absl/strings/escaping.h"
#include "base/verify.h"

namespace wagtail {

std::string Sha256Hex(std::string_view bytes) {
  std::string digest(kSha256Bytes, '\0');
  VERIFY(gnutls_hash_fast(GNUTLS_DIG_SHA256, bytes.data(), bytes.size(), digest.data()) ==
         GNUTLS_E_SUCCESS);
  return absl::BytesToHexString(digest);
}

sha256_digest HmacSha256(std::string_view key, std::string_view message) {
  sha256_digest digest{};
  VERIFY(gnutls_hmac_fast(GNUTLS_MAC_SHA256, key.data(), key.size(), message.data(), message.size(),
                          digest.data()) == GNUTLS_E_SUCCESS);
  return digest;
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() && gnutls_memcmp(a.data(), b.data(), a.size()) == 0;
}

uint64_t RandomNonce64() {
  uint64_t nonce = 0;
  while (nonce == 0) {
    VERIFY(gnutls_rnd(GNUTLS_RND_NONCE, &nonce, sizeof nonce) == GNUTLS_E_SUCCESS);
  }
  return nonce;
}

}  // namespace wagtail
