#include "table/http_table.h"

#include <algorithm>
#include <utility>

#include "base/try.h"
#include "http/http_error.h"
#include "table/table_json.h"

namespace wagtail {
namespace {

constexpr int kOk = 200;
constexpr int kConflictStatus = 409;
constexpr int kUnavailableStatus = 503;

std::string StatusText(const http_response& answer) {
  return "table answered HTTP " + std::to_string(answer.status);
}

absl::Status ReadErrorFrom(const absl::Status& error) {
  return MakeError(table_error::kUnavailable, "table not read: " + MessageOf(error));
}

/// Only a call that certainly did not reach the service proves that nothing was written.
absl::Status CommitErrorFrom(const absl::Status& error) {
  auto cause = ErrorOf<http_error>(error);
  if (cause == http_error::kConnectFailed || cause == http_error::kBadCall) {
    return MakeError(table_error::kUnavailable, "table not reached: " + MessageOf(error));
  }
  return MakeError(table_error::kOutcomeUnknown, "no answer from the table: " + MessageOf(error));
}

absl::Status UnreadableAnswerFrom(const absl::Status& error) {
  return MakeError(table_error::kOutcomeUnknown, "malformed answer: " + MessageOf(error));
}

/// Checks that the rows match the query. A revision below `after` would mean that the table
/// reverted.
absl::Status ValidateChanges(const table_changes& changes, std::string_view prefix,
                             uint64_t after) {
  bool valid = std::ranges::all_of(changes.rows, [prefix, after](const table_row& row) {
    bool erased = !row.value.has_value();
    return row.key.starts_with(prefix) && row.revision > after && !(erased && after == 0);
  });
  if (!valid || changes.revision < after) {
    return MakeError(table_error::kBadAnswer, "the rows do not match the query");
  }
  return absl::OkStatus();
}

}  // namespace

std::string PercentEncoded(std::string_view text) {
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (char character : text) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kHexDigits[byte >> 4U];
    encoded += kHexDigits[byte & 0xFU];
  }
  return encoded;
}

http_table::http_table(http_table_options options, http_caller caller)
    : options_(std::move(options)), caller_(std::move(caller)) {}

absl::StatusOr<table_changes> http_table::Read(std::string_view prefix, uint64_t after) {
  http_call call{.method = "GET",
                 .url = options_.base_url + "/v1/rows?prefix=" + PercentEncoded(prefix) +
                        "&after=" + std::to_string(after),
                 .timeout = options_.timeout};
  http_response answer = TRY_AS(caller_(call), ReadErrorFrom);
  if (answer.status == kUnavailableStatus) {
    return MakeError(table_error::kUnavailable, StatusText(answer));
  }
  if (answer.status != kOk) {
    return MakeError(table_error::kBadAnswer, StatusText(answer));
  }
  table_changes changes = TRY(ChangesFromJson(answer.body));
  TRY(ValidateChanges(changes, prefix, after));
  return changes;
}

absl::StatusOr<uint64_t> http_table::Commit(const table_transaction& transaction) {
  // Outside the initializer below: g++ leaks its finished members when TRY returns from within.
  std::string body = TRY(TransactionToJson(transaction));
  http_call call{.method = "POST",
                 .url = options_.base_url + "/v1/transactions",
                 .headers = {{"content-type", "application/json"}},
                 .body = std::move(body),
                 .timeout = options_.timeout};
  http_response answer = TRY_AS(caller_(call), CommitErrorFrom);
  if (answer.status == kConflictStatus) {
    return MakeError(table_error::kConflict, "a condition did not hold");
  }
  if (answer.status == kUnavailableStatus) {
    return MakeError(table_error::kUnavailable, StatusText(answer));
  }
  if (answer.status != kOk) {
    return MakeError(table_error::kOutcomeUnknown, StatusText(answer));
  }
  return TRY_AS(RevisionFromJson(answer.body), UnreadableAnswerFrom);
}

}  // namespace wagtail
