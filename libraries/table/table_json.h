#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "table/table.h"

/// @file
/// JSON encoding of the table's messages. Parsed input is validated; malformed input is kBadAnswer.

namespace wagtail {

/// @return the body of POST /v1/transactions, or kBadAnswer if a text is not UTF-8
absl::StatusOr<std::string> TransactionToJson(const table_transaction& transaction);
/// @return the transaction of such a body, or kBadAnswer
absl::StatusOr<table_transaction> TransactionFromJson(std::string_view text);

/// @return the answer to GET /v1/rows, or kBadAnswer if a text is not UTF-8
absl::StatusOr<std::string> ChangesToJson(const table_changes& changes);
/// @return the changes of such an answer, or kBadAnswer
absl::StatusOr<table_changes> ChangesFromJson(std::string_view text);

/// @return the answer to a committed transaction
std::string RevisionToJson(uint64_t revision);
/// @return the revision of such an answer, or kBadAnswer
absl::StatusOr<uint64_t> RevisionFromJson(std::string_view text);

}  // namespace wagtail
