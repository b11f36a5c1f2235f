#include "membership/row_text.h"

#include <charconv>

#include "absl/strings/str_format.h"
#include "base/layer_error.h"
#include "membership/membership_error.h"

namespace wagtail {

namespace {

constexpr std::size_t kNonceDigits = 16;
constexpr int kHexadecimal = 16;

absl::Status BadField(std::string_view field) {
  return MakeError(membership_error::kBadRow,
                   "field missing or of the wrong kind: " + std::string(field));
}

}  // namespace

absl::StatusOr<nlohmann::json> ParseRowText(std::string_view text) {
  auto row = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!row.is_object()) {
    return MakeError(membership_error::kBadRow, "the row is not a JSON object");
  }
  return row;
}

absl::StatusOr<std::string> ReadText(const nlohmann::json& row, std::string_view field) {
  auto found = row.is_object() ? row.find(field) : row.end();
  if (found == row.end() || !found->is_string()) {
    return BadField(field);
  }
  return found->get<std::string>();
}

absl::StatusOr<uint64_t> ReadNumber(const nlohmann::json& row, std::string_view field,
                                    uint64_t limit) {
  auto found = row.find(field);
  if (found == row.end() || !found->is_number_unsigned()) {
    return BadField(field);
  }
  auto value = found->get<uint64_t>();
  if (value > limit) {
    return BadField(field);
  }
  return value;
}

absl::StatusOr<entry_incarnation> ReadNonce(const nlohmann::json& row, std::string_view field) {
  std::string text = TRY(ReadText(row, field));
  entry_incarnation result;
  const char* last = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data(), last, result.nonce, kHexadecimal);
  if (error != std::errc() || stop != last || text.size() != kNonceDigits || result.nonce == 0) {
    return BadField(field);
  }
  return result;
}

std::string NonceText(entry_incarnation incarnation) {
  return absl::StrFormat("%016x", incarnation.nonce);
}

}  // namespace wagtail
