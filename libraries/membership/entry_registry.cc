#include "membership/entry_registry.h"

#include "base/layer_error.h"
#include "membership/membership_error.h"
#include "membership/row_text.h"

namespace wagtail {

namespace {

constexpr std::string_view kServingText = "serving";
constexpr std::string_view kStoppedText = "stopped";

absl::StatusOr<entry_state> ReadState(const nlohmann::json& row) {
  std::string text = TRY(ReadText(row, "state"));
  if (text == kServingText) {
    return entry_state::kServing;
  }
  if (text == kStoppedText) {
    return entry_state::kStopped;
  }
  return MakeError(membership_error::kBadRow, "unknown state of an entry: " + text);
}

}  // namespace

std::string EntryKey(std::string_view name) { return std::string(kEntryPrefix).append(name); }

std::string Serialise(const entry_row& row) {
  auto state = row.state == entry_state::kServing ? kServingText : kStoppedText;
  return nlohmann::json{{"name", row.name},
                        {"nonce", NonceText(row.incarnation)},
                        {"http_address", row.http_address},
                        {"rpc_address", row.rpc_address},
                        {"failure_domain", row.failure_domain},
                        {"state", std::string(state)}}
      .dump();
}

absl::StatusOr<entry_row> ParseEntryRow(std::string_view key, std::string_view value) {
  nlohmann::json row = TRY(ParseRowText(value));
  entry_row result;
  result.name = TRY(ReadText(row, "name"));
  result.incarnation = TRY(ReadNonce(row, "nonce"));
  result.http_address = TRY(ReadText(row, "http_address"));
  result.rpc_address = TRY(ReadText(row, "rpc_address"));
  result.failure_domain = TRY(ReadText(row, "failure_domain"));
  result.state = TRY(ReadState(row));
  if (key != EntryKey(result.name)) {
    return MakeError(membership_error::kBadKey, "the row names another entry than its key");
  }
  return result;
}

}  // namespace wagtail
