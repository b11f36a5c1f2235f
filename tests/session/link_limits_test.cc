#include "session/link_limits.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {

TEST_GROUP(LinkLimits) {
  static constexpr link_limits kLimits{.most = 4, .max_sessions_with_busy = 6};
};

// Two entries were added that rank before one whose callers stay: it keeps its targets.
TEST(LinkLimits, ABusyEntryKeepsItsSessionWhenOthersAreAdded) {
  CHECK(kLimits.Allow(4, true));
  CHECK(!kLimits.Allow(4, false));
}

TEST(LinkLimits, BusyEntriesDontAddSessionsWithoutEnd) { CHECK(!kLimits.Allow(6, true)); }

}  // namespace wagtail::leased
