#include "rpc/handshake_nonces.h"

#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(HandshakeNonces) { handshake_nonces nonces; };

TEST(HandshakeNonces, EachIsRedeemedOnce) {
  uint64_t nonce = nonces.Issue();
  CHECK(nonces.Redeem(nonce));
  CHECK_FALSE(nonces.Redeem(nonce));
}

TEST(HandshakeNonces, ANonceThatWasNotIssuedIsRefused) {
  uint64_t nonce = nonces.Issue();
  CHECK_FALSE(nonces.Redeem(nonce + 1));
}

TEST(HandshakeNonces, TheOldestExpiresAtTheLimit) {
  uint64_t oldest = nonces.Issue();
  for (int issued = 0; issued < 1024; ++issued) {
    nonces.Issue();
  }
  CHECK_FALSE(nonces.Redeem(oldest));
}

}  // namespace wagtail
