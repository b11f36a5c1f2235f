#include "membership/target_registry.h"

#include "membership/membership_error.h"
#include "tests/membership/rows.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(TargetRegistry) {
  target_event Only(const table_row& row) {
    auto events = registry_.OnChanges({row.revision, {row}});
    LONGS_EQUAL(1, events.size());
    return events.front();
  }
  target_registry registry_;
};

TEST(TargetRegistry, FollowsATargetThroughItsIncarnations) {
  target_row first = CourtTarget("a");
  CHECK(Only(RowOf(first, 3)).kind == row_event_kind::kAdded);

  target_row second = *NextAnnouncement(first, recorded_target_row{first, 3});
  auto replaced = Only(RowOf(second, 9));
  CHECK(replaced.kind == row_event_kind::kReplaced);
  CHECK(replaced.row->incarnation == (target_incarnation{"a", 2}));
  CHECK(replaced.previous->incarnation == (target_incarnation{"a", 1}));

  auto removed = Only(RowOf(Retirement({second, 9}), 12));
  CHECK(removed.kind == row_event_kind::kRemoved);
  CHECK(removed.row->incarnation == (target_incarnation{"a", 2}));
  CHECK(registry_.Present().empty());

  target_row third = *NextAnnouncement(first, recorded_target_row{Retirement({second, 9}), 12});
  CHECK(Only(RowOf(third, 15)).kind == row_event_kind::kAdded);
  LONGS_EQUAL(3, registry_.Find("a")->row->incarnation.number);
  LONGS_EQUAL(3, registry_.Find("a")->row->first_revision);
}

TEST(TargetRegistry, IgnoresLateAndDuplicateRows) {
  target_row first = CourtTarget("a");
  target_row second = *NextAnnouncement(first, recorded_target_row{first, 3});
  Only(RowOf(second, 9));
  CHECK(registry_.OnChanges({9, {RowOf(second, 9), RowOf(first, 3)}}).empty());
  LONGS_EQUAL(2, registry_.Present().front().incarnation.number);
  LONGS_EQUAL(9, registry_.revision());
}

TEST(TargetRegistry, ReportsRowsItCannotReadAndCountsThemAsAbsent) {
  Only(RowOf(CourtTarget("a"), 3));
  auto events = registry_.OnChanges({5, {{"target/a", 5, "{\"target\": 7}"}}});
  LONGS_EQUAL(2, events.size());
  CHECK(events[0].kind == row_event_kind::kRemoved);
  CHECK(events[1].kind == row_event_kind::kMalformed);
  CHECK(registry_.Present().empty());
}

TEST(TargetRegistry, SkipsRowsOfOtherKinds) {
  CHECK(registry_.OnChanges({5, {{"configuration", 5, "{"}}}).empty());
}

TEST(TargetRegistry, RejectsMalformedRows) {
  std::string good = Serialise(CourtTarget("a"));
  for (const std::string& bad :
       {std::string(), std::string("[]"), std::string("{"), good.substr(0, good.size() / 2)}) {
    auto row = ParseTargetRow("target/a", bad);
    CHECK(ErrorOf<membership_error>(row.status()) == membership_error::kBadRow);
  }
  CHECK(ErrorOf<membership_error>(ParseTargetRow("target/b", good).status()) ==
        membership_error::kBadKey);
  target_row no_slots = CourtTarget("a");
  no_slots.slots = 0;
  CHECK(ErrorOf<membership_error>(ParseTargetRow("target/a", Serialise(no_slots)).status()) ==
        membership_error::kBadRow);
  CHECK(*ParseTargetRow("target/a", good) == CourtTarget("a"));
}

TEST(TargetRegistry, RefusesAnAnnouncementOfAnotherService) {
  target_row other = CourtTarget("a");
  other.service = "swarm";
  auto next = NextAnnouncement(other, recorded_target_row{CourtTarget("a"), 3});
  CHECK(ErrorOf<membership_error>(next.status()) == membership_error::kBadChange);
}

}  // namespace wagtail
