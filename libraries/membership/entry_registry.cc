#include "membership/entry_registry.h"

#include <utility>

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

absl::StatusOr<std::vector<entry_incarnation>> ReadStoppedBefore(const nlohmann::json& row) {
  auto list = row.find("stopped_before");
  if (list == row.end() || !list->is_array() || list->size() > kMostStoppedLives) {
    return MakeError(membership_error::kBadRow, "no list of stopped lives, or too long a one");
  }
  std::vector<entry_incarnation> lives;
  for (const auto& item : *list) {
    lives.push_back(TRY(ReadNonce(item, "nonce")));
  }
  return lives;
}

void KeepLatest(std::vector<entry_incarnation>& lives) {
  if (lives.size() > kMostStoppedLives) {
    lives.erase(lives.begin());
  }
}

}  // namespace

entry_row NextRegistration(const entry_row& wanted, const std::optional<entry_row>& previous) {
  entry_row result = wanted;
  result.state = entry_state::kServing;
  result.stopped_before.clear();
  if (previous) {
    result.stopped_before = StoppedLives(*previous);
    KeepLatest(result.stopped_before);
  }
  return result;
}

entry_row WithStoppedLife(const entry_row& present, entry_incarnation ended) {
  entry_row result = present;
  result.stopped_before.push_back(ended);
  KeepLatest(result.stopped_before);
  return result;
}

std::vector<entry_incarnation> StoppedLives(const entry_row& row) {
  auto lives = row.stopped_before;
  if (row.state == entry_state::kStopped) {
    lives.push_back(row.incarnation);
  }
  return lives;
}

std::string EntryKey(std::string_view name) { return std::string(kEntryPrefix).append(name); }

std::string Serialise(const entry_row& row) {
  nlohmann::json stopped = nlohmann::json::array();
  for (const auto& life : row.stopped_before) {
    stopped.push_back({{"nonce", NonceText(life)}});
  }
  auto state = row.state == entry_state::kServing ? kServingText : kStoppedText;
  return nlohmann::json{{"name", row.name},
                        {"nonce", NonceText(row.incarnation)},
                        {"http_address", row.http_address},
                        {"rpc_address", row.rpc_address},
                        {"failure_domain", row.failure_domain},
                        {"state", std::string(state)},
                        {"stopped_before", std::move(stopped)}}
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
  result.stopped_before = TRY(ReadStoppedBefore(row));
  if (key != EntryKey(result.name)) {
    return MakeError(membership_error::kBadKey, "the row names another entry than its key");
  }
  return result;
}

}  // namespace wagtail
