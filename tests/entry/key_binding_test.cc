#include "entry/key_binding.h"

#include "table/memory_table.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(KeyBinding) {
  table_fault next_commit = table_fault::kNone;
  memory_table rows{[this](table_operation operation) {
    return operation == table_operation::kCommit ? next_commit : table_fault::kNone;
  }};
  key_binding Wanted(const char* id, int64_t at = 1000) {
    return {.job_id = id, .digest = 9, .bound_at_s = at};
  }
};

TEST(KeyBinding, TheFirstBindingWins) {
  STRCMP_EQUAL("id-1", BindKey(rows, "club", "k", Wanted("id-1"))->job_id.c_str());
  STRCMP_EQUAL("id-1", BindKey(rows, "club", "k", Wanted("id-2"))->job_id.c_str());
}

TEST(KeyBinding, TeamsDoNotShareKeys) {
  BindKey(rows, "club", "k", Wanted("id-1")).IgnoreError();
  STRCMP_EQUAL("id-2", BindKey(rows, "apiary", "k", Wanted("id-2"))->job_id.c_str());
}

TEST(KeyBinding, ALostAnswerIsResolvedByReadingBack) {
  next_commit = table_fault::kLoseAnswer;
  STRCMP_EQUAL("id-1", BindKey(rows, "club", "k", Wanted("id-1"))->job_id.c_str());
}

TEST(KeyBinding, AnUnavailableTableBindsNothing) {
  next_commit = table_fault::kRefuse;
  CHECK_FALSE(BindKey(rows, "club", "k", Wanted("id-1")).ok());
  next_commit = table_fault::kNone;
  STRCMP_EQUAL("id-2", BindKey(rows, "club", "k", Wanted("id-2"))->job_id.c_str());
}

TEST(KeyBinding, SweepErasesOnlyExpiredBindings) {
  constexpr int64_t kDayS = int64_t{24} * 3600;
  BindKey(rows, "club", "old", Wanted("id-1", 0)).IgnoreError();
  BindKey(rows, "club", "young", Wanted("id-2", 100)).IgnoreError();
  LONGS_EQUAL(1, *SweepKeys(rows, kDayS + 50));
  STRCMP_EQUAL("id-3", BindKey(rows, "club", "old", Wanted("id-3"))->job_id.c_str());
  STRCMP_EQUAL("id-2", BindKey(rows, "club", "young", Wanted("id-4"))->job_id.c_str());
}

}  // namespace wagtail
