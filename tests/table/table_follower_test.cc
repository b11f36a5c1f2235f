#include "table/table_follower.h"

#include <optional>
#include <vector>

// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(TableFollower) {
  std::vector<table_follower::changes_hook> reads;
  std::vector<table_follower::changes_hook> follows;
  std::vector<uint64_t> followed_after;
  std::vector<std::function<void()>> delayed;
  table_follower::rows rows;
  uint64_t revision = 0;
  rows_source source = rows_source::kPoll;
  unsigned changes = 0;
  unsigned answers = 0;
  unsigned unavailable_count = 0;
  unsigned available_count = 0;
  table_follower follower{
      table_follower_options{},
      {.read = [this](table_follower::changes_hook hook) { reads.push_back(std::move(hook)); },
       .follow =
           [this](uint64_t after, table_follower::changes_hook hook) {
             followed_after.push_back(after);
             follows.push_back(std::move(hook));
           },
       .run_after = [this](duration,
                           const std::function<void()>& work) { delayed.push_back(work); },
       .on_changed =
           [this](const table_follower::rows& now, uint64_t at, rows_source from) {
             rows = now;
             revision = at;
             source = from;
             ++changes;
           },
       .on_answered = [this] { ++answers; },
       .on_unavailable = [this](const absl::Status&) { ++unavailable_count; },
       .on_available = [this] { ++available_count; }}};

  table_changes Changes(uint64_t at, std::vector<table_row> changed_rows) {
    return {.revision = at, .rows = std::move(changed_rows)};
  }
};

TEST(TableFollower, ReadsOnceAndFollows) {
  follower.Start();
  reads.at(0)(Changes(5, {{.key = "a", .revision = 3, .value = "1"}}));
  CHECK_EQUAL(1, rows.size());
  CHECK_EQUAL(5, followed_after.at(0));
  follows.at(0)(Changes(7, {{.key = "b", .revision = 7, .value = "2"}, {.key = "a"}}));
  CHECK_EQUAL(1, rows.size());
  STRCMP_EQUAL("2", rows["b"].c_str());
  CHECK_EQUAL(7, followed_after.at(1));
}

TEST(TableFollower, SaysHowTheRowsCameAndWhenTheTableAnswered) {
  follower.Start();
  reads.at(0)(Changes(5, {}));
  CHECK(source == rows_source::kRead);
  follows.at(0)(Changes(7, {{.key = "b", .revision = 7, .value = "2"}}));
  CHECK(source == rows_source::kPoll);
  follows.at(1)(Changes(8, {}));
  follows.at(2)(absl::UnavailableError("gone"));
  CHECK_EQUAL(3, answers);
}

TEST(TableFollower, AnEmptyChangeDoesNotCallTheHook) {
  follower.Start();
  reads.at(0)(Changes(5, {}));
  follows.at(0)(Changes(9, {}));
  CHECK_EQUAL(1, changes);
  CHECK_EQUAL(9, followed_after.at(1));
}

TEST(TableFollower, AnUnreadableRowKeepsItsLastValueAndTheOthersHold) {
  table_row odd{.key = "a", .is_readable = false};
  follower.Start();
  reads.at(0)(Changes(5, {{.key = "a", .value = "1"}, {.key = "b", .value = "1"}}));
  follows.at(0)(Changes(7, {odd, {.key = "b", .value = "2"}}));
  STRCMP_EQUAL("1", rows["a"].c_str());
  STRCMP_EQUAL("2", rows["b"].c_str());
  follows.at(1)(absl::UnavailableError("gone"));
  delayed.at(0)();
  reads.at(1)(Changes(9, {odd, {.key = "c", .value = "3"}}));
  STRCMP_EQUAL("1", rows["a"].c_str());
  STRCMP_EQUAL("3", rows["c"].c_str());
  CHECK_EQUAL(2, rows.size());
}

TEST(TableFollower, RereadsAfterAFailure) {
  follower.Start();
  reads.at(0)(Changes(5, {{.key = "a", .revision = 3, .value = "1"}}));
  follows.at(0)(absl::UnavailableError("gone"));
  CHECK_EQUAL(1, unavailable_count);
  CHECK_EQUAL(1, delayed.size());
  delayed[0]();
  reads.at(1)(absl::UnavailableError("gone"));
  CHECK_EQUAL(1, unavailable_count);
  delayed.at(1)();
  reads.at(2)(Changes(8, {}));
  CHECK_EQUAL(2, available_count);
  CHECK_EQUAL(0, rows.size());
  CHECK_EQUAL(8, revision);
}

TEST(TableFollower, NeverRevertsToAnOlderRevision) {
  follower.Start();
  reads.at(0)(Changes(5, {{.key = "a", .revision = 3, .value = "1"}}));
  follows.at(0)(absl::UnavailableError("gone"));
  delayed.at(0)();
  reads.at(1)(Changes(4, {}));
  CHECK_EQUAL(1, rows.size());
  CHECK_EQUAL(5, revision);
}

}  // namespace wagtail
