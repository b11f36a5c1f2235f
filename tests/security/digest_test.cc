#include "security/digest.h"

#include <set>

#include "absl/strings/escaping.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(Digest){};

TEST(Digest, Sha256OfAKnownText) {
  STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
               Sha256Hex("abc").c_str());
  STRCMP_EQUAL("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
               Sha256Hex("").c_str());
}

// RFC 4231, test case 2.
TEST(Digest, HmacOfAKnownText) {
  const sha256_digest digest = HmacSha256("Jefe", "what do ya want for nothing?");
  const std::string bytes(reinterpret_cast<const char*>(digest.data()), digest.size());
  STRCMP_EQUAL("5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843",
               absl::BytesToHexString(bytes).c_str());
}

TEST(Digest, ComparesWholeTexts) {
  CHECK(EqualInConstantTime("", ""));
  CHECK(EqualInConstantTime("abc", "abc"));
  CHECK_FALSE(EqualInConstantTime("abc", "abd"));
  CHECK_FALSE(EqualInConstantTime("abc", "abcd"));
}

TEST(Digest, NoncesDifferAndAreNotZero) {
  constexpr size_t kNonces = 1000;
  std::set<uint64_t> seen = {0};
  for (size_t drawn = 0; drawn < kNonces; ++drawn) {
    seen.insert(RandomNonce64());
  }
  LONGS_EQUAL(kNonces + 1, seen.size());
}

}  // namespace wagtail
