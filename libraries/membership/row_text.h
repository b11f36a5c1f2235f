#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/identifiers.h"
#include "base/try.h"

/// @file
/// Parses and formats the JSON text of membership rows, with typed errors.

namespace wagtail {

/// @return the object in `text`, or membership_error::kBadRow
absl::StatusOr<nlohmann::json> ParseRowText(std::string_view text);
/// @return the string under `field`, or membership_error::kBadRow
absl::StatusOr<std::string> ReadText(const nlohmann::json& row, std::string_view field);
/// @return the number under `field`, at most `limit`, or membership_error::kBadRow
absl::StatusOr<uint64_t> ReadNumber(const nlohmann::json& row, std::string_view field,
                                    uint64_t limit);
/// Nonces are written as 16 hexadecimal digits, since JSON parsers may round large numbers.
/// @return the incarnation whose nonce is under `field`, or membership_error::kBadRow
absl::StatusOr<entry_incarnation> ReadNonce(const nlohmann::json& row, std::string_view field);
/// @return the text that ReadNonce() reads
std::string NonceText(entry_incarnation incarnation);

}  // namespace wagtail
