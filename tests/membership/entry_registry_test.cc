#include "membership/entry_registry.h"

#include "membership/membership_error.h"
#include "tests/membership/rows.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(EntryRegistry){};

TEST(EntryRegistry, DistinguishesARestartFromAStop) {
  entry_registry registry;
  auto events = registry.OnChanges({1, {RowOf(Entry("e", 7), 1)}});
  CHECK(events.at(0).kind == row_event_kind::kAdded);
  events = registry.OnChanges({2, {RowOf(Entry("e", 8), 2)}});
  CHECK(events.at(0).kind == row_event_kind::kReplaced);
  CHECK(events.at(0).previous->incarnation == entry_incarnation{7});
  entry_row stopped = Entry("e", 8);
  stopped.state = entry_state::kStopped;
  events = registry.OnChanges({3, {RowOf(stopped, 3)}});
  CHECK(events.at(0).kind == row_event_kind::kRemoved);
  CHECK(registry.Present().empty());
}

TEST(EntryRegistry, RoundTripsItsRowsAndRejectsOthers) {
  entry_row row = Entry("e", 0xfedcba9876543210ULL);
  CHECK(*ParseEntryRow("entry/e", Serialise(row)) == row);
  CHECK(ErrorOf<membership_error>(ParseEntryRow("entry/f", Serialise(row)).status()) ==
        membership_error::kBadKey);
  CHECK(ErrorOf<membership_error>(ParseEntryRow("entry/e", Serialise(Entry("e", 0))).status()) ==
        membership_error::kBadRow);
}

}  // namespace wagtail
