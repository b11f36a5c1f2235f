#include "entry/entry_registration.h"

#include "table/memory_table.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(EntryRegistration) {
  memory_table rows;

  entry_row RowOf(uint64_t nonce) {
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
};

TEST(EntryRegistration, ALateStopDoesNotOverwriteASuccessor) {
  CHECK(RegisterEntry(rows, RowOf(1)).ok());
  CHECK(RegisterEntry(rows, RowOf(2)).ok());
  entry_row late = RowOf(1);
  late.state = entry_state::kStopped;
  CHECK_FALSE(RegisterEntry(rows, late).ok());
  CHECK(Present().incarnation == entry_incarnation{.nonce = 2});
}

TEST(EntryRegistration, AnEntryThatStopsIsNoLongerPresent) {
  CHECK(RegisterEntry(rows, RowOf(1)).ok());
  entry_row stopped = RowOf(1);
  stopped.state = entry_state::kStopped;
  CHECK(RegisterEntry(rows, stopped).ok());
  CHECK(Present().state == entry_state::kStopped);
  CHECK(RegisterEntry(rows, RowOf(2)).ok());
  CHECK(Present().state == entry_state::kServing);
}

}  // namespace wagtail
