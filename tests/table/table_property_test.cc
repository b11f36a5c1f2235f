#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "table/memory_table.h"
#include "table/table_json.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

/// Reference model: keeps the committed transactions in order and replays them for each answer.
class table_model {
 public:
  std::optional<uint64_t> Commit(const table_transaction& transaction) {
    for (const table_condition& condition : transaction.conditions) {
      auto row = Newest(condition.key);
      uint64_t revision = row.has_value() && row->value.has_value() ? row->revision : 0;
      if (revision != condition.revision) {
        return std::nullopt;
      }
    }
    if (!transaction.writes.empty()) {
      log_.push_back(transaction);
    }
    return log_.size();
  }

  std::vector<table_row> Read(std::string_view prefix, uint64_t after) const {
    std::vector<table_row> rows;
    for (const auto& [key, row] : Rows()) {
      bool matches = after == 0 ? row.value.has_value() : row.revision > after;
      if (key.starts_with(prefix) && matches) {
        rows.push_back(row);
      }
    }
    return rows;
  }

  uint64_t revision() const { return log_.size(); }

 private:
  std::map<std::string, table_row> Rows() const {
    std::map<std::string, table_row> rows;
    for (size_t index = 0; index < log_.size(); ++index) {
      for (const table_write& write : log_[index].writes) {
        rows[write.key] = {.key = write.key, .revision = index + 1, .value = write.value};
      }
    }
    return rows;
  }

  std::optional<table_row> Newest(const std::string& key) const {
    auto rows = Rows();
    auto row = rows.find(key);
    return row == rows.end() ? std::nullopt : std::optional(row->second);
  }

  std::vector<table_transaction> log_;
};

std::string AnyKey() { return *rc::gen::element<std::string>("a", "a/1", "a/2", "b", "b/1"); }

table_transaction AnyTransaction(uint64_t newest) {
  table_transaction transaction;
  auto conditions = *rc::gen::inRange(0, 3);
  for (int count = 0; count < conditions; ++count) {
    auto revision = *rc::gen::inRange<uint64_t>(0, newest + 2);
    transaction.conditions.push_back({.key = AnyKey(), .revision = revision});
  }
  auto writes = *rc::gen::inRange(0, 4);
  for (int count = 0; count < writes; ++count) {
    auto erase = *rc::gen::arbitrary<bool>();
    std::optional<std::string> value;
    if (!erase) {
      value = *rc::gen::string<std::string>();
    }
    transaction.writes.push_back({.key = AnyKey(), .value = std::move(value)});
  }
  return transaction;
}

}  // namespace

TEST_GROUP(TableProperty){};

TEST(TableProperty, RandomTransactionsMatchTheModel) {
  CHECK(rc::check("the table matches the model", [] {
    memory_table rows;
    table_model model;
    auto steps = *rc::gen::inRange(0, 30);
    for (int step = 0; step < steps; ++step) {
      table_transaction transaction = AnyTransaction(model.revision());
      auto expected = model.Commit(transaction);
      auto outcome = rows.Commit(transaction);
      RC_ASSERT(outcome.ok() == expected.has_value());
      if (outcome.ok()) {
        RC_ASSERT(*outcome == *expected);
      }

      std::string prefix = *rc::gen::element<std::string>("", "a", "a/", "b", "c");
      auto after = *rc::gen::inRange<uint64_t>(0, model.revision() + 2);
      auto changes = rows.Read(prefix, after);
      RC_ASSERT(changes.ok());
      RC_ASSERT(changes->revision == model.revision());
      RC_ASSERT(changes->rows == model.Read(prefix, after));
    }
  }));
}

TEST(TableProperty, MessagesRoundTripThroughJson) {
  CHECK(rc::check("transactions and changes are parsed as they were written", [] {
    memory_table rows;
    table_transaction transaction = AnyTransaction(1);
    auto text = TransactionToJson(transaction);
    if (!text.ok()) {
      // Serialization fails only for invalid UTF-8.
      RC_DISCARD("not UTF-8");
    }
    RC_ASSERT(*TransactionFromJson(*text) == transaction);
    transaction.conditions.clear();
    RC_ASSERT(rows.Commit(transaction).ok());
    table_changes changes = *rows.Read("", 0);
    auto parsed = ChangesFromJson(*ChangesToJson(changes));
    RC_ASSERT(parsed.ok());
    RC_ASSERT(parsed->revision == changes.revision && parsed->rows == changes.rows);
  }));
}

TEST(TableProperty, RandomBytesAreParsedOrRefused) {
  CHECK(rc::check("truncated and altered messages are parsed or refused", [] {
    std::string text =
        R"({"revision":7,"rows":[{"key":"a","revision":3,"value":"x"}],"conditions":[],"writes":[{"key":"a","value":null}]})";
    auto cut = *rc::gen::inRange<size_t>(0, text.size() + 1);
    auto position = *rc::gen::inRange<size_t>(0, text.size());
    text[position] = *rc::gen::arbitrary<char>();
    text.resize(cut);
    auto changes = ChangesFromJson(text);
    RC_ASSERT((changes.ok() || ErrorOf<table_error>(changes.status()) == table_error::kBadAnswer));
    auto transaction = TransactionFromJson(text);
    RC_ASSERT((transaction.ok() ||
               ErrorOf<table_error>(transaction.status()) == table_error::kBadAnswer));
  }));
}

}  // namespace wagtail
