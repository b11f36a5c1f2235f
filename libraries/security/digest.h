#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Digests, authentication codes and random numbers from GnuTLS. Failures of the library itself (no
/// entropy, no memory) abort the process, since it can't continue safely without them.

namespace wagtail {

inline constexpr size_t kSha256Bytes = 32;
using sha256_digest = std::array<uint8_t, kSha256Bytes>;

/// @return the SHA-256 of `bytes` as 64 lower-case hexadecimal digits
std::string Sha256Hex(std::string_view bytes);

/// @return HMAC-SHA256 of `message` under `key`
sha256_digest HmacSha256(std::string_view key, std::string_view message);

/// Compares in time that depends only on the lengths.
bool EqualInConstantTime(std::string_view a, std::string_view b);

/// @return an unpredictable number, never zero
uint64_t RandomNonce64();

}  // namespace wagtail
