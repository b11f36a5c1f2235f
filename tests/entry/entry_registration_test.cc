#include "entry/entry_registration.h"

#include <algorithm>
#include <array>

#include "table/memory_table.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(EntryRegistration) {
  memory_table rows;

  entry_row Life(uint64_t nonce) {
    entry_row row;
    row.name = "entry-1";
    row.incarnation = {.nonce = nonce};
    row.http_address = "127.0.0.1:1";
    row.rpc_address = "127.0.0.1:2";
    row.failure_domain = "zone-a";
    return row;
  }
  entry_row Present() {
    std::string key = EntryKey("entry-1");
    return *ParseEntryRow(key, *rows.Read(key, 0)->rows.at(0).value);
  }
  bool HasEnded(uint64_t nonce) {
    std::vector<entry_incarnation> ended = StoppedLives(Present());
    return std::ranges::find(ended, entry_incarnation{.nonce = nonce}) != ended.end();
  }
};

TEST(EntryRegistration, ALateStopDoesNotTakeThePlaceOfASuccessor) {
  CHECK(RegisterEntry(rows, Life(1)).ok());
  CHECK(RegisterEntry(rows, Life(2)).ok());
  entry_row late = Life(1);
  late.state = entry_state::kStopped;
  CHECK_FALSE(RegisterEntry(rows, late).ok());
  CHECK(Present().incarnation == entry_incarnation{.nonce = 2});
}

TEST(EntryRegistration, AStopIsRememberedByTheSuccessorsRow) {
  CHECK(RegisterEntry(rows, Life(1)).ok());
  entry_row stopped = Life(1);
  stopped.state = entry_state::kStopped;
  CHECK(RegisterEntry(rows, stopped).ok());
  CHECK(RegisterEntry(rows, Life(2)).ok());
  CHECK(HasEnded(1));
}

TEST(EntryRegistration, AKilledLifeCountsAsEndedOnlyOnAnOperatorsWord) {
  CHECK(RegisterEntry(rows, Life(1)).ok());
  CHECK(RegisterEntry(rows, Life(2)).ok());
  CHECK_FALSE(HasEnded(1));
  std::array lives = {entry_incarnation{.nonce = 1}};
  CHECK(VouchEnded(rows, "entry-1", lives).ok());
  CHECK(HasEnded(1));
  CHECK(Present().state == entry_state::kServing);
}

TEST(EntryRegistration, AnEntryThatNeverCameBackIsMarkedStopped) {
  CHECK(RegisterEntry(rows, Life(1)).ok());
  std::array lives = {entry_incarnation{.nonce = 1}};
  CHECK(VouchEnded(rows, "entry-1", lives).ok());
  CHECK(Present().state == entry_state::kStopped);
  CHECK(VouchEnded(rows, "entry-9", lives).code() == absl::StatusCode::kNotFound);
}

}  // namespace wagtail
