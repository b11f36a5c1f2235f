#include "table/table_json.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/try.h"

namespace wagtail {
namespace {

using json = nlohmann::json;

absl::Status Malformed(std::string_view what) { return MakeError(table_error::kBadAnswer, what); }

absl::StatusOr<json> ParseObject(std::string_view text) {
  json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    return Malformed("not a JSON object");
  }
  return document;
}

absl::StatusOr<std::string> Dump(const json& document) {
  try {
    return document.dump();
  } catch (const json::exception&) {
    return Malformed("text is not UTF-8");
  }
}

absl::StatusOr<json> ArrayIn(const json& object, const char* name) {
  auto member = object.find(name);
  if (member == object.end() || !member->is_array()) {
    return Malformed(std::string("missing array ") + name);
  }
  return *member;
}

absl::StatusOr<uint64_t> NumberIn(const json& object, const char* name) {
  auto member = object.find(name);
  if (member == object.end() || !member->is_number_unsigned()) {
    return Malformed(std::string("missing unsigned integer ") + name);
  }
  return member->get<uint64_t>();
}

absl::StatusOr<std::string> KeyIn(const json& object) {
  auto member = object.find("key");
  if (member == object.end() || !member->is_string()) {
    return Malformed("missing key");
  }
  return member->get<std::string>();
}

absl::StatusOr<std::optional<std::string>> ValueIn(const json& object) {
  auto member = object.find("value");
  if (member == object.end() || !(member->is_null() || member->is_string())) {
    return Malformed("missing value");
  }
  if (member->is_null()) {
    return std::optional<std::string>();
  }
  return std::optional<std::string>(member->get<std::string>());
}

json ValueToJson(const std::optional<std::string>& value) {
  return value.has_value() ? json(*value) : json(nullptr);
}

absl::StatusOr<table_condition> ConditionFrom(const json& item) {
  if (!item.is_object()) {
    return Malformed("condition is not an object");
  }
  table_condition condition;
  condition.key = TRY(KeyIn(item));
  condition.revision = TRY(NumberIn(item, "revision"));
  return condition;
}

absl::StatusOr<table_write> WriteFrom(const json& item) {
  if (!item.is_object()) {
    return Malformed("write is not an object");
  }
  table_write write;
  write.key = TRY(KeyIn(item));
  write.value = TRY(ValueIn(item));
  return write;
}

absl::StatusOr<table_row> RowFrom(const json& item, uint64_t newest) {
  if (!item.is_object()) {
    return Malformed("row is not an object");
  }
  table_row row;
  row.key = TRY(KeyIn(item));
  row.revision = TRY(NumberIn(item, "revision"));
  row.value = TRY(ValueIn(item));
  if (row.revision == 0 || row.revision > newest) {
    return Malformed("revision of a row is out of range");
  }
  return row;
}

}  // namespace

absl::StatusOr<std::string> TransactionToJson(const table_transaction& transaction) {
  json conditions = json::array();
  for (const table_condition& condition : transaction.conditions) {
    conditions.push_back({{"key", condition.key}, {"revision", condition.revision}});
  }
  json writes = json::array();
  for (const table_write& write : transaction.writes) {
    writes.push_back({{"key", write.key}, {"value", ValueToJson(write.value)}});
  }
  return Dump({{"conditions", std::move(conditions)}, {"writes", std::move(writes)}});
}

absl::StatusOr<table_transaction> TransactionFromJson(std::string_view text) {
  json document = TRY(ParseObject(text));
  json conditions = TRY(ArrayIn(document, "conditions"));
  json writes = TRY(ArrayIn(document, "writes"));
  table_transaction transaction;
  for (const json& item : conditions) {
    transaction.conditions.push_back(TRY(ConditionFrom(item)));
  }
  for (const json& item : writes) {
    transaction.writes.push_back(TRY(WriteFrom(item)));
  }
  return transaction;
}

absl::StatusOr<std::string> ChangesToJson(const table_changes& changes) {
  json rows = json::array();
  for (const table_row& row : changes.rows) {
    rows.push_back(
        {{"key", row.key}, {"revision", row.revision}, {"value", ValueToJson(row.value)}});
  }
  return Dump({{"revision", changes.revision}, {"rows", std::move(rows)}});
}

absl::StatusOr<table_changes> ChangesFromJson(std::string_view text) {
  json document = TRY(ParseObject(text));
  table_changes changes;
  changes.revision = TRY(NumberIn(document, "revision"));
  json rows = TRY(ArrayIn(document, "rows"));
  changes.rows.reserve(rows.size());
  for (const json& item : rows) {
    changes.rows.push_back(TRY(RowFrom(item, changes.revision)));
  }
  return changes;
}

std::string RevisionToJson(uint64_t revision) { return json{{"revision", revision}}.dump(); }

absl::StatusOr<uint64_t> RevisionFromJson(std::string_view text) {
  json document = TRY(ParseObject(text));
  return TRY(NumberIn(document, "revision"));
}

}  // namespace wagtail
