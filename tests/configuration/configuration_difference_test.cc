#include "configuration/configuration_difference.h"

#include <string>

#include "configuration/configuration_text.h"
#include "tests/configuration/sample_text.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(ConfigurationDifference) {
  configuration before = *ParseConfiguration(kSampleText, "a");
  configuration after = *ParseConfiguration(kSampleText, "b");

  void CheckOnly(const char* expected) const {
    const auto found = DiffConfigurations(before, after);
    LONGS_EQUAL(1, found.size());
    STRCMP_EQUAL(expected, ToString(found.front()).c_str());
  }
};

TEST(ConfigurationDifference, EqualConfigurationsHaveNone) {
  after.version = 9;
  CHECK(DiffConfigurations(before, after).empty());
}

TEST(ConfigurationDifference, ReportsAChangedValue) {
  after.services.at("court-control").task_timeout = std::chrono::milliseconds(1500);
  CheckOnly("~ /services/court-control/task_timeout_ms: 2000 -> 1500");
}

TEST(ConfigurationDifference, ReportsChangedDependencies) {
  after.services.at("report").depends_on = {};
  CheckOnly("~ /services/report/depends_on: [flicker-check] -> []");
}

TEST(ConfigurationDifference, ReportsAddedAndRemovedEntries) {
  after.services.erase("report");
  CheckOnly("- /services/report");
  std::swap(before, after);
  CheckOnly("+ /services/report");
}

TEST(ConfigurationDifference, HidesTokens) {
  after.teams.at("clubs").token_digest = std::string(64, '3');
  CheckOnly("~ /teams/clubs/token_sha256: (not shown) -> (not shown)");
}

TEST(ConfigurationDifference, ReportsLeavingMarks) {
  after.leaving_failure_domains.insert("kandy-1");
  CheckOnly("+ /leaving_failure_domains/kandy-1");
}

}  // namespace wagtail
