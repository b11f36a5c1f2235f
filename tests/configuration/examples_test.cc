#include <cstdlib>
#include <string>
#include <vector>

#include "configuration/configuration_text.h"
#include "configuration/stage_order.h"
#include "settings/settings_text.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

configuration Example(const std::string& name) {
  const std::string path = std::string(std::getenv("WAGTAIL_SOURCE")) + "/docs/examples/" + name;
  const absl::StatusOr<std::string> text = ReadTextFile(path);
  CHECK(text.ok());
  absl::StatusOr<configuration> parsed = ParseConfiguration(*text, path);
  CHECK_TEXT(parsed.ok(), MessageOf(parsed.status()).c_str());
  return *std::move(parsed);
}

}  // namespace

TEST_GROUP(Examples){};

TEST(Examples, KandyIsAccepted) {
  const configuration kandy = Example("kandy.jsonc");
  LONGS_EQUAL(3, kandy.failure_domains.size());
  const std::vector<std::string> used = {"flicker-check", "court-control"};
  LONGS_EQUAL(2, StageOrder(kandy, used)->size());
}

TEST(Examples, JutlandIsAccepted) {
  const configuration jutland = Example("jutland.jsonc");
  LONGS_EQUAL(3, jutland.failure_domains.size());
  const std::vector<std::string> used = {"collector-dispatch", "hive-health"};
  const std::vector<job_stage> expected = {{{"hive-health"}}, {{"collector-dispatch"}}};
  CHECK(*StageOrder(jutland, used) == expected);
}

}  // namespace wagtail
