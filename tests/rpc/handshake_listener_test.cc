#include "rpc/handshake_listener.h"

#include <kj/exception.h>

#include "rpc/handshake.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

constexpr const char* kKey = "a-cluster-key-of-tests";
constexpr uint64_t kCallerNonce = 42;

}  // namespace

TEST_GROUP(HandshakeListener) {
  handshake_listener listener{kKey};

  std::string MakeProof(const char* key, uint64_t nonce) {
    sha256_digest proof = HandshakeProof(key, handshake_side::kCaller, nonce, kCallerNonce);
    return {reinterpret_cast<const char*>(proof.data()), proof.size()};
  }
  bool Accepts(uint64_t nonce, const std::string& proof) {
    try {
      listener.Accept(nonce, kCallerNonce, proof);
      return true;
    } catch (const kj::Exception& /*refused*/) {
      return false;
    }
  }
};

TEST(HandshakeListener, AcceptsAProofMadeWithTheKey) {
  uint64_t nonce = listener.Challenge();
  CHECK(Accepts(nonce, MakeProof(kKey, nonce)));
}

TEST(HandshakeListener, RefusesAReplayedProof) {
  uint64_t nonce = listener.Challenge();
  std::string replayed = MakeProof(kKey, nonce);
  CHECK(Accepts(nonce, replayed));
  CHECK_FALSE(Accepts(nonce, replayed));
  CHECK_FALSE(Accepts(listener.Challenge(), replayed));
}

TEST(HandshakeListener, RefusesAnotherKeyAndTheListenersOwnProof) {
  uint64_t nonce = listener.Challenge();
  CHECK_FALSE(Accepts(nonce, MakeProof("another-key-altogether", nonce)));
  nonce = listener.Challenge();
  sha256_digest own = HandshakeProof(kKey, handshake_side::kListener, nonce, kCallerNonce);
  CHECK_FALSE(Accepts(nonce, {reinterpret_cast<const char*>(own.data()), own.size()}));
}

}  // namespace wagtail
