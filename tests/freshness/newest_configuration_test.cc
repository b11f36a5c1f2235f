#include "freshness/newest_configuration.h"

#include <array>
#include <chrono>
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

using std::chrono::seconds;

const freshness_settings kSettings;
const target_incarnation kTarget{.target = "t-1", .number = 1};

table_changes RowAt(uint64_t revision) {
  return {.revision = revision,
          .rows = {{.key = "target/t-1", .revision = revision + 1, .value = "other"},
                   {.key = std::string(kConfigurationKey), .revision = revision, .value = "text"}}};
}

std::vector<missing_target> MissingTarget(missing_reason reason) {
  return {{.name = kTarget.target, .reason = reason}};
}

}  // namespace

TEST_GROUP(NewestConfiguration) {
  static constexpr instant kNow = instant(seconds(20));
  newest_configuration newest_{kSettings};
};

TEST(NewestConfiguration, KeepsTheNewestVersion) {
  newest_.OnTableRead(kNow, RowAt(7), kNow);
  newest_.OnPeerRow({.text = "old", .revision = 6}, kNow);
  newest_.OnTableRead(kNow, RowAt(5), kNow);
  LONGS_EQUAL(7, newest_.version());
  newest_.OnPeerRow({.text = "new", .revision = 8}, kNow);
  STRCMP_EQUAL("new", newest_.row().text.c_str());
}

TEST(NewestConfiguration, QueriesOtherEntriesOnlyWhileTableReadsAreStale) {
  CHECK(newest_.IsTableReadStale(kNow));
  newest_.OnTableRead(kNow, RowAt(7), kNow);
  CHECK_FALSE(newest_.IsTableReadStale(kNow + kSettings.reads_fail_after));
  CHECK(newest_.IsTableReadStale(kNow + kSettings.reads_fail_after + duration(1)));
}

TEST(NewestConfiguration, ReturnsTheRowOnlyIfNewer) {
  CHECK_FALSE(newest_.NewerThan(0).has_value());
  newest_.OnTableRead(kNow, RowAt(7), kNow);
  LONGS_EQUAL(7, newest_.NewerThan(6)->revision);
  CHECK_FALSE(newest_.NewerThan(7).has_value());
}

TEST(NewestConfiguration, IsInForceAfterContactTimeoutAndConfirmations) {
  newest_.OnTargets(std::array{kTarget});
  newest_.OnTableRead(kNow, RowAt(7), kNow);
  instant spread = kNow + kSettings.contact_limit;
  newest_.OnTargetConfirmed(kTarget, 6, spread);
  CHECK_FALSE(newest_.IsInForce(spread));
  CHECK(newest_.MissingTargets(spread) == MissingTarget(missing_reason::kMayStillStart));
  newest_.OnTargetConfirmed(kTarget, 7, spread);
  CHECK(newest_.IsInForce(spread));
  CHECK_FALSE(newest_.IsInForce(spread - duration(1)));
  CHECK(newest_.MissingTargets(spread).empty());
}

TEST(NewestConfiguration, AnUnresponsiveTargetDelaysNothingAndIsReported) {
  newest_.OnTargets(std::array{kTarget});
  newest_.OnTargetConfirmed(kTarget, 6, kNow);
  newest_.OnTableRead(kNow, RowAt(7), kNow);
  instant later = kNow + kSettings.contact_limit + duration(1);
  CHECK(newest_.IsInForce(later));
  CHECK(newest_.MissingTargets(later) == MissingTarget(missing_reason::kStartsNothing));
  newest_.OnTargets({});
  CHECK(newest_.MissingTargets(later).empty());
}

TEST(NewestConfiguration, NothingIsInForceWithoutAConfiguration) {
  CHECK_FALSE(newest_.IsInForce(kNow + seconds(60)));
}

}  // namespace wagtail
