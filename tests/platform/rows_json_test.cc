#include "platform/rows_json.h"

#include <string>
#include <vector>

// Included last: its macros must not affect other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::platform {
namespace {

constexpr size_t kDeep = 100'000;

std::string Page(const std::string& odd_row) {
  return R"({"rows":[{"table":"t","part":"","key":"a","value":"MQ==","ver":3},)" + odd_row +
         R"(,{"table":"t","part":"","key":"c","value":"Mw==","ver":5}],"has_more":true,"ver":9})";
}

}  // namespace

TEST_GROUP(RowsJson){};

TEST(RowsJson, ReadsRowsAndTheRevision) {
  absl::StatusOr<rows_page> page = ReadRows(Page(R"({"key":"b","deleted":true,"ver":4})"));
  CHECK(page.ok());
  CHECK_EQUAL(9, page->changes.revision);
  CHECK(page->has_more);
  CHECK_EQUAL(3, page->changes.rows.size());
  STRCMP_EQUAL("1", page->changes.rows[0].value->c_str());
  CHECK(!page->changes.rows[1].value.has_value());
  CHECK(page->changes.rows[1].is_readable);
}

TEST(RowsJson, OneOddRowLeavesTheOthersReadable) {
  std::string deep = std::string(kDeep, '[') + std::string(kDeep, ']');
  std::vector<std::string> odd_rows = {"5",
                                       "null",
                                       deep,
                                       R"({"key":5,"value":"MQ=="})",
                                       R"({"key":"b"})",
                                       R"({"key":"b","value":7,"ver":4})",
                                       R"({"key":"b","value":"not base64!","ver":4})",
                                       R"({"key":"b","value":"MQ==","ver":1e300})",
                                       R"({"key":"b","value":"MQ==","ver":18446744073709551616})",
                                       R"({"key":"b","value":)" + deep + "}"};
  for (const std::string& odd_row : odd_rows) {
    absl::StatusOr<rows_page> page = ReadRows(Page(odd_row));
    CHECK(page.ok());
    STRCMP_EQUAL("a", page->changes.rows.front().key.c_str());
    STRCMP_EQUAL("3", page->changes.rows.back().value->c_str());
  }
}

TEST(RowsJson, AnAnswerWithoutARevisionIsRefused) {
  for (const char* body : {"", "[]", "{}", R"({"rows":[]})", R"({"rows":[],"ver":1e300})",
                           R"({"rows":[],"ver":-1})", R"({"rows":{},"ver":1})"}) {
    CHECK(!ReadRows(body).ok());
  }
}

}  // namespace wagtail::platform
