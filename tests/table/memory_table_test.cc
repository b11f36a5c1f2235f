#include "table/memory_table.h"

#include <string>
#include <thread>
#include <vector>

// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

table_transaction Put(std::string key, std::string value) {
  return {.writes = {{.key = std::move(key), .value = std::move(value)}}};
}

table_transaction Erase(std::string key) { return {.writes = {{.key = std::move(key)}}}; }

template <typename T>
void CheckError(const absl::StatusOr<T>& result, table_error expected) {
  CHECK_FALSE(result.ok());
  CHECK(ErrorOf<table_error>(result.status()) == expected);
}

/// Increments a counter row, retrying the conditional write until it succeeds.
void Increment(table& shared) {
  while (true) {
    auto rows = shared.Read("counter", 0)->rows;
    uint64_t revision = rows.empty() ? 0 : rows[0].revision;
    int value = rows.empty() ? 0 : std::stoi(*rows[0].value);
    auto outcome =
        shared.Commit({.conditions = {{.key = "counter", .revision = revision}},
                       .writes = {{.key = "counter", .value = std::to_string(value + 1)}}});
    if (outcome.ok()) {
      return;
    }
  }
}

}  // namespace

TEST_GROUP(MemoryTable) { memory_table rows; };

TEST(MemoryTable, ReadsWhatWasCommittedUnderAPrefix) {
  LONGS_EQUAL(1, *rows.Commit(Put("a/1", "x")));
  LONGS_EQUAL(2, *rows.Commit(Put("b/1", "y")));
  auto changes = rows.Read("a/", 0);
  LONGS_EQUAL(2, changes->revision);
  LONGS_EQUAL(1, changes->rows.size());
  CHECK(changes->rows[0] == (table_row{.key = "a/1", .revision = 1, .value = "x"}));
  LONGS_EQUAL(2, rows.Read("", 0)->rows.size());
}

TEST(MemoryTable, ChangesAfterARevisionIncludeErasedRows) {
  CHECK(rows.Commit(Put("a", "1")).ok());
  CHECK(rows.Commit(Put("b", "1")).ok());
  CHECK(rows.Commit(Erase("a")).ok());
  auto changes = rows.Read("", 2);
  LONGS_EQUAL(1, changes->rows.size());
  CHECK(changes->rows[0] == (table_row{.key = "a", .revision = 3}));
  CHECK(rows.Read("", 3)->rows.empty());
  LONGS_EQUAL(1, rows.Read("", 0)->rows.size());
}

TEST(MemoryTable, AConditionOnARevisionHoldsUntilTheRowIsWrittenAgain) {
  CHECK(rows.Commit(Put("a", "1")).ok());
  table_transaction change{.conditions = {{.key = "a", .revision = 1}},
                           .writes = {{.key = "a", .value = "2"}}};
  LONGS_EQUAL(2, *rows.Commit(change));
  CheckError(rows.Commit(change), table_error::kConflict);
  LONGS_EQUAL(2, rows.Read("", 0)->revision);
}

TEST(MemoryTable, AConditionOnAbsenceHoldsForErasedRowsToo) {
  table_transaction create{.conditions = {{.key = "a"}}, .writes = {{.key = "a", .value = "1"}}};
  CHECK(rows.Commit(create).ok());
  CheckError(rows.Commit(create), table_error::kConflict);
  CHECK(rows.Commit(Erase("a")).ok());
  CheckError(rows.Commit({.conditions = {{.key = "a", .revision = 2}}}), table_error::kConflict);
  CHECK(rows.Commit(create).ok());
}

TEST(MemoryTable, OneFailedConditionWritesNothing) {
  CHECK(rows.Commit(Put("a", "1")).ok());
  table_transaction mixed{.conditions = {{.key = "a", .revision = 1}, {.key = "b", .revision = 9}},
                          .writes = {{.key = "a", .value = "2"}, {.key = "c", .value = "1"}}};
  CheckError(rows.Commit(mixed), table_error::kConflict);
  LONGS_EQUAL(1, rows.Read("", 0)->rows.size());
  CHECK(*rows.Read("a", 0)->rows[0].value == "1");
}

TEST(MemoryTable, AllWritesOfATransactionShareOneRevision) {
  LONGS_EQUAL(1,
              *rows.Commit({.writes = {{.key = "a", .value = "1"}, {.key = "b", .value = "2"}}}));
  auto changes = rows.Read("", 0);
  LONGS_EQUAL(1, changes->rows[0].revision);
  LONGS_EQUAL(1, changes->rows[1].revision);
}

TEST(MemoryTable, RacingConditionalWritesLoseNoUpdate) {
  constexpr int kThreads = 4;
  constexpr int kRounds = 200;
  {
    std::vector<std::jthread> threads;
    threads.reserve(kThreads);
    for (int thread = 0; thread < kThreads; ++thread) {
      threads.emplace_back([this] {
        for (int round = 0; round < kRounds; ++round) {
          Increment(rows);
        }
      });
    }
  }
  CHECK(*rows.Read("counter", 0)->rows[0].value == std::to_string(kThreads * kRounds));
}

TEST(MemoryTable, FaultsDecideWhetherAWriteTakesEffect) {
  table_fault fault = table_fault::kNone;
  memory_table faulty([&fault](table_operation) { return fault; });
  fault = table_fault::kRefuse;
  CheckError(faulty.Commit(Put("a", "1")), table_error::kUnavailable);
  CheckError(faulty.Read("", 0), table_error::kUnavailable);
  fault = table_fault::kLoseRequest;
  CheckError(faulty.Commit(Put("a", "1")), table_error::kOutcomeUnknown);
  fault = table_fault::kNone;
  CHECK(faulty.Read("", 0)->rows.empty());
  fault = table_fault::kLoseAnswer;
  CheckError(faulty.Commit(Put("a", "1")), table_error::kOutcomeUnknown);
  fault = table_fault::kNone;
  LONGS_EQUAL(1, faulty.Read("", 0)->rows.size());
}

}  // namespace wagtail
