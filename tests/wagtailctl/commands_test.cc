#include "utilities/wagtailctl/commands.h"

#include <string>

#include "tests/wagtailctl/command_run.h"
// Included last: CppUTest's macros would break the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(Commands) { command_run run; };

TEST(Commands, CheckNeedsNoEntry) {
  const temporary_file good(kSampleText);
  const command_result accepted = run.RunWithoutEntry({"check", good.path()});
  CHECK(accepted.code == exit_code::kDone);
  STRCMP_CONTAINS(": accepted: 3 services, 1 teams, 1 operators, 2 failure domains",
                  accepted.out.c_str());
  const temporary_file bad(R"({"services": {"a": {"depends_on": ["b"]}}, "zone": 1})");
  const command_result refused = run.RunWithoutEntry({"check", bad.path(), "--json"});
  CHECK(refused.code == exit_code::kFailed);
  STRCMP_CONTAINS("/services/a/depends_on: \"b\" is refused", refused.err.c_str());
  STRCMP_CONTAINS("/zone: the unknown key", refused.err.c_str());
  STRCMP_CONTAINS("\"error\":\"invalid_text\"", refused.out.c_str());
  CHECK(run.calls.empty());
}

TEST(Commands, DiffShowsWhatApplyWouldChange) {
  run.entry.record_.leaving_targets = {"t-1"};
  std::string text(kSampleText);
  text.replace(text.find("80"), 2, "90");
  const temporary_file file(text);
  STRCMP_EQUAL(
      "~ /services/court-control/expected_run_ms: 80 -> 90\n1 differences from version 4\n",
      run.Run({"diff", file.path()}).out.c_str());
  STRCMP_EQUAL(
      "{\"differences\":[{\"after\":\"90\",\"before\":\"80\",\"kind\":\"changed\",\"path\":"
      "\"/services/court-control/expected_run_ms\"}],\"version\":4}\n",
      run.Run({"diff", file.path(), "--json"}).out.c_str());
}

TEST(Commands, TargetsArePrintedInColumns) {
  run.entry.answers_["/v1/operator/targets"] = R"({"targets": [
    {"name": "t-1", "incarnation": 3, "service": "court-control", "failure_domain": "kandy-1",
     "slots": 8, "running": 2, "queued": 0, "state": "ready", "confirmed_version": 4},
    {"name": "target-2", "incarnation": 1, "service": "court-control", "failure_domain": "kandy-2",
     "slots": 8, "running": 0, "queued": 0, "state": "leaving", "confirmed_version": 3}]})";
  STRCMP_EQUAL(
      "name      incarnation  service        failure_domain  state    slots  running  queued  "
      "confirmed_version\n"
      "t-1       3            court-control  kandy-1         ready    8      2        0       4\n"
      "target-2  1            court-control  kandy-2         leaving  8      0        0       3\n",
      run.Run({"targets"}).out.c_str());
}

TEST(Commands, StatusIsPrintedByName) {
  run.entry.answers_["/v1/operator/status"] =
      R"({"version": 4, "entries": ["a", "b"], "table": {"reachable": true}, "note": null})";
  STRCMP_EQUAL(
      "NAME             VALUE\nentries          a, b\nnote             -\n"
      "table.reachable  true\nversion          4\n",
      run.Run({"status"}).out.c_str());
  STRCMP_EQUAL((run.entry.answers_["/v1/operator/status"] + "\n").c_str(),
               run.Run({"status", "--json"}).out.c_str());
}

TEST(Commands, AnEmptyListIsReported) {
  run.entry.answers_["/v1/operator/jobs"] = R"({"jobs": []})";
  STRCMP_EQUAL("no jobs\n", run.Run({"jobs"}).out.c_str());
}

TEST(Commands, AuditRequestsLaterVersions) {
  run.entry.answers_["/v1/operator/audit"] = R"({"audit": []})";
  CHECK(run.Run({"audit", "--after", "7"}).code == exit_code::kDone);
  STRCMP_CONTAINS("/v1/operator/audit?after=7", run.calls.back().url.c_str());
}

TEST(Commands, CancelIsPosted) {
  run.entry.answers_["/v1/operator/jobs/j-1/cancel"] = R"({"outcome": "cancelled"})";
  CHECK(run.Run({"cancel", "j-1"}).code == exit_code::kDone);
  STRCMP_EQUAL("POST", run.calls.back().method.c_str());
  const command_result unknown = run.Run({"cancel", "j-2", "--json"});
  CHECK(unknown.code == exit_code::kFailed);
  STRCMP_CONTAINS("\"error\":\"not_found\"", unknown.out.c_str());
}

TEST(Commands, TheTokenIsSentOnlyInTheHeader) {
  const temporary_file token("  hush-hush\n");
  run.entry.faults_ = {call_fault::kConnectFails};
  const command_result result = run.Run({"--token-file", token.path(), "status", "--json"});
  STRCMP_EQUAL("Bearer hush-hush", run.calls.back().headers.at("authorization").c_str());
  CHECK((result.out + result.err).find("hush") == std::string::npos);
}

TEST(Commands, AnEmptyTokenFileIsRefused) {
  const temporary_file token("\n");
  CHECK(run.Run({"--token-file", token.path(), "status"}).code == exit_code::kFailed);
  CHECK(run.calls.empty());
}

TEST(Commands, AReadIsRepeatedAtTheNextEntry) {
  run.entry.answers_["/v1/operator/jobs"] = R"({"jobs": []})";
  run.entry.faults_ = {call_fault::kLostAnswer};
  CHECK(run.Run({"--entry", "http://10.0.0.2:80", "jobs"}).code == exit_code::kDone);
  LONGS_EQUAL(2, run.calls.size());
}

TEST(Commands, AnAnswerThatIsNotJsonIsRefused) {
  run.entry.answers_["/v1/operator/jobs"] = "{";
  CHECK(run.Run({"jobs"}).code == exit_code::kFailed);
}

}  // namespace wagtail
