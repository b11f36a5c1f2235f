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

absl::Status UnreadFrom(const absl::Status& error) {
  return MakeError(table_error::kUnavailable, "table not read: " + MessageOf(error));
}

/// Only a call that certainly did not arrive proves that nothing was written.
absl::Status UncommittedFrom(const absl::Status& error) {
  auto cause = ErrorOf<http_error>(error);
  if (cause == http_error::kConnectFailed || cause == http_error::kBadCall) {
    return MakeError(table_error::kUnavailable, "table not reached: " + MessageOf(error));
  }
  return MakeError(table_error::kOutcomeUnknown, "no answer from the table: " + MessageOf(error));
}

absl::Status UnknownFrom(const absl::Status& error) {
  return MakeError(table_error::kOutcomeUnknown, "answer not understood: " + MessageOf(error));
}

/// A revision below one already seen would mean that the table reverted.
absl::Status CheckFits(const table_changes& changes, std::string_view prefix, uint64_t after) {
  bool fits = std::ranges::all_of(changes.rows, [prefix, after](const table_row& row) {
    bool erased = !row.value.has_value();
    return row.key.starts_with(prefix) && row.revision > after && !(erased && after == 0);
  });
  if (!fits || changes.revision < after) {
    return MakeError(table_error::kBadAnswer, "rows that were not asked for");
  }
  return absl::OkStatus();
}

}  // namespace

std::string PercentEncoded(std::string_view text) {
  constexpr std::string_view kPlain =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (char letter : text) {
    if (kPlain.find(letter) != std::string_view::npos) {
      encoded += letter;
      continue;
    }
    auto byte = static_cast<unsigned char>(letter);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 0xFU];
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
  http_response answer = TRY_AS(caller_(call), UnreadFrom);
  if (answer.status == kUnavailableStatus) {
    return MakeError(table_error::kUnavailable, StatusText(answer));
  }
  if (answer.status != kOk) {
    return MakeError(table_error::kBadAnswer, StatusText(answer));
  }
  table_changes changes = TRY(ChangesFromJson(answer.body));
  TRY(CheckFits(changes, prefix, after));
  return changes;
}

absl::StatusOr<uint64_t> http_table::Commit(const table_transaction& transaction) {
  // Not inside the initialiser below: g++ leaks its finished members when TRY returns from within.
  std::string body = TRY(TransactionToJson(transaction));
  http_call call{.method = "POST",
                 .url = options_.base_url + "/v1/transactions",
                 .headers = {{"content-type", "application/json"}},
                 .body = std::move(body),
                 .timeout = options_.timeout};
  http_response answer = TRY_AS(caller_(call), UncommittedFrom);
  if (answer.status == kConflictStatus) {
    return MakeError(table_error::kConflict, "a condition did not hold");
  }
  if (answer.status == kUnavailableStatus) {
    return MakeError(table_error::kUnavailable, StatusText(answer));
  }
  if (answer.status != kOk) {
    return MakeError(table_error::kOutcomeUnknown, StatusText(answer));
  }
  return TRY_AS(RevisionFromJson(answer.body), UnknownFrom);
}

}  // namespace wagtail
