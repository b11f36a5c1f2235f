#include "security/job_id_codec.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cctype>
#include <string>
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

constexpr std::string_view kKey = "0123456789abcdef0123456789abcdef";

rc::Gen<std::string> TextUpTo(size_t max_bytes) {
  return rc::gen::mapcat(rc::gen::inRange<size_t>(0, max_bytes + 1), [](size_t size) {
    return rc::gen::container<std::string>(size, rc::gen::arbitrary<char>());
  });
}

job_id AnyJobId() {
  job_id id;
  id.key.owner.nonce = *rc::gen::arbitrary<uint64_t>();
  id.key.sequence = *rc::gen::arbitrary<uint64_t>();
  id.minted_uptime_ms = *rc::gen::arbitrary<uint64_t>();
  id.registry_revision = *rc::gen::arbitrary<uint64_t>();
  id.team = *TextUpTo(kMaxJobIdTeamBytes);
  id.owner_address = *TextUpTo(kMaxJobIdAddressBytes);
  return id;
}

bool IsUrlSafe(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' ||
         character == '_';
}

job_id SampleJobId() {
  return {.key = {.owner = {.nonce = 0x1234567890abcdef}, .sequence = 42},
          .minted_uptime_ms = 5000,
          .registry_revision = 77,
          .team = "clubs",
          .owner_address = "10.1.2.3:7000"};
}

}  // namespace

TEST_GROUP(JobIdCodec) { job_id_codec codec{std::string(kKey)}; };

TEST(JobIdCodec, RoundTrip) {
  CHECK(rc::check("an id decodes to what was encoded", [&] {
    const job_id id = AnyJobId();
    const std::string text = codec.Encode(id);
    RC_ASSERT(text.size() <= kMaxJobIdCharacters);
    RC_ASSERT(std::ranges::all_of(text, IsUrlSafe));
    const absl::StatusOr<job_id> decoded = codec.Decode(text);
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == id);
  }));
}

TEST(JobIdCodec, AnyChangeOfOneCharacterIsRefused) {
  CHECK(rc::check("a changed id does not decode", [&] {
    std::string text = codec.Encode(AnyJobId());
    const auto position = *rc::gen::inRange<size_t>(0, text.size());
    const auto other = *rc::gen::arbitrary<char>();
    RC_PRE(other != text[position]);
    text[position] = other;
    const absl::StatusOr<job_id> decoded = codec.Decode(text);
    RC_ASSERT(!decoded.ok());
    RC_ASSERT(ErrorOf<job_id_error>(decoded.status()).has_value());
  }));
}

TEST(JobIdCodec, EveryUrlSafeReplacementOfEveryCharacterIsRefused) {
  constexpr std::string_view kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
  const std::string text = codec.Encode(SampleJobId());
  for (size_t position = 0; position < text.size(); ++position) {
    for (const char other : kAlphabet) {
      std::string changed = text;
      changed[position] = other;
      CHECK(codec.Decode(changed).ok() == (changed == text));
    }
  }
}

TEST(JobIdCodec, CutOrLengthenedTextIsRefused) {
  const std::string text = codec.Encode(SampleJobId());
  for (size_t length = 0; length < text.size(); ++length) {
    CHECK_FALSE(codec.Decode(text.substr(0, length)).ok());
  }
  for (const char* tail : {"A", "=", "==", " ", "\n", "AAAA"}) {
    CHECK_FALSE(codec.Decode(text + tail).ok());
  }
}

TEST(JobIdCodec, ErrorsAreTyped) {
  CHECK(ErrorOf<job_id_error>(codec.Decode("").status()) == job_id_error::kMalformed);
  CHECK(ErrorOf<job_id_error>(codec.Decode("no/id").status()) == job_id_error::kMalformed);
  CHECK(ErrorOf<job_id_error>(codec.Decode(std::string(10000, 'A')).status()) ==
        job_id_error::kMalformed);
  const job_id_codec other("another key");
  CHECK(ErrorOf<job_id_error>(other.Decode(codec.Encode(SampleJobId())).status()) ==
        job_id_error::kBadSignature);
}

}  // namespace wagtail
