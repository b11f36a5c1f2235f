#include <string>

#include "tests/wagtailctl/command_run.h"
// Included last: CppUTest's macros would break the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

std::string EditedSample() {
  std::string text(kSampleText);
  text.replace(text.find("80"), 2, "90");
  return text;
}

}  // namespace

TEST_GROUP(ChangeCommands) {
  command_run run;

  void CheckFailed(const command_result& result, const char* message) {
    CHECK(result.code == exit_code::kFailed);
    STRCMP_CONTAINS(message, result.err.c_str());
  }
};

TEST(ChangeCommands, LeaveIsCommittedOnTheCurrentVersion) {
  const command_result result = run.Run({"leave", "domain", "kandy-1"});
  CHECK(result.code == exit_code::kDone);
  STRCMP_EQUAL("version 5 committed by change new-change\n", result.out.c_str());
  CHECK(run.entry.record_.leaving_failure_domains.contains("kandy-1"));
}

TEST(ChangeCommands, ApplySendsTheCheckedText) {
  const temporary_file file(EditedSample());
  const command_result result = run.Run({"apply", file.path(), "--json"});
  CHECK(result.code == exit_code::kDone);
  STRCMP_EQUAL("{\"change_id\":\"new-change\",\"outcome\":\"committed\",\"version\":5}\n",
               result.out.c_str());
  CHECK(run.entry.record_.text == EditedSample());
}

TEST(ChangeCommands, AnInvalidTextIsNotSent) {
  const temporary_file file("{}");
  CheckFailed(run.Run({"apply", file.path()}), "/services: missing");
  CHECK(run.calls.empty());
}

TEST(ChangeCommands, AConflictNamesTheOtherChange) {
  run.entry.ChangeByOther(change_kind::kLeaveTarget, "t-1", "other-change");
  const command_result result = run.Run({"leave", "domain", "kandy-1", "--base", "4", "--json"});
  CheckFailed(result, "operator nuwan made version 5 with change other-change");
  STRCMP_CONTAINS("\"error\":\"conflict\"", result.out.c_str());
}

TEST(ChangeCommands, TheMessageOfAConflictTakesPrecedenceOverItsFields) {
  run.entry.conflict_message_ = "based on version 4, but nuwan made version 5 with change newer";
  run.entry.ChangeByOther(change_kind::kLeaveTarget, "t-1", "other-change");
  CheckFailed(run.Run({"leave", "domain", "kandy-1", "--base", "4"}),
              "another change came first: based on version 4, but nuwan made version 5");
}

TEST(ChangeCommands, AConflictInTheTableIsAConflict) {
  run.entry.faults_ = {call_fault::kNone, call_fault::kTableConflict};
  const command_result result = run.Run({"leave", "domain", "kandy-1", "--json"});
  CheckFailed(result, "another change came first: condition failed");
  STRCMP_CONTAINS("\"error\":\"conflict\"", result.out.c_str());
}

TEST(ChangeCommands, ARefusalIsReported) {
  CheckFailed(run.Run({"leave", "domain", "kandy-9"}), "names no failure domain kandy-9");
}

TEST(ChangeCommands, AnUnreachableTableMeansNotApplied) {
  run.entry.faults_ = {call_fault::kNone, call_fault::kTableDown};
  CheckFailed(run.Run({"leave", "domain", "kandy-1"}), "not applied");
  LONGS_EQUAL(4, run.entry.record_.version);
}

TEST(ChangeCommands, ALostAnswerIsSettledFromTheAuditTrail) {
  for (const call_fault fault :
       {call_fault::kLostAnswer, call_fault::kOutcomeUnknown, call_fault::kMalformedAnswer}) {
    command_run own;
    own.entry.faults_ = {call_fault::kNone, fault};
    const command_result result = own.Run({"leave", "domain", "kandy-1"});
    CHECK(result.code == exit_code::kDone);
    STRCMP_EQUAL("version 5 committed by change new-change\n", result.out.c_str());
    LONGS_EQUAL(5, own.entry.record_.version);
  }
}

TEST(ChangeCommands, ALostRequestIsSentAgainUnderTheSameId) {
  run.entry.faults_ = {call_fault::kNone, call_fault::kLostRequest};
  const command_result result = run.Run({"leave", "domain", "kandy-1"});
  CHECK(result.code == exit_code::kDone);
  LONGS_EQUAL(5, run.entry.record_.version);
  CHECK(run.entry.audit_.contains("new-change"));
}

TEST(ChangeCommands, NotAppliedAfterALostAnswerIsInconclusive) {
  run.entry.faults_ = {call_fault::kNone, call_fault::kLostAnswer, call_fault::kTableDown,
                       call_fault::kTableDown, call_fault::kTableDown};
  const command_result result = run.Run({"leave", "domain", "kandy-1"});
  CHECK(result.code == exit_code::kDone);
  STRCMP_CONTAINS("version 5 committed", result.out.c_str());
}

TEST(ChangeCommands, AnUnsettledOutcomeIsReported) {
  run.entry.faults_ = {call_fault::kNone, call_fault::kLostAnswer};
  run.entry.faults_.insert(run.entry.faults_.end(), 1000, call_fault::kTableDown);
  const command_result result = run.Run({"leave", "domain", "kandy-1", "--json"});
  CheckFailed(result, "settle it by the same command with --change-id new-change --base 4");
  STRCMP_CONTAINS("\"error\":\"outcome_unknown\"", result.out.c_str());
}

TEST(ChangeCommands, TheSameChangeIdSettlesItLater) {
  run.Run({"leave", "domain", "kandy-1", "--change-id", "c-1"});
  run.entry.ChangeByOther(change_kind::kLeaveTarget, "t-1", "other-change");
  const command_result result =
      run.Run({"leave", "domain", "kandy-1", "--change-id", "c-1", "--base", "4"});
  CHECK(result.code == exit_code::kDone);
  STRCMP_CONTAINS("version 5 committed by change c-1", result.out.c_str());
}

TEST(ChangeCommands, AConflictAfterALostRequestStands) {
  run.entry.faults_ = {call_fault::kLostRequest};
  run.entry.ChangeByOther(change_kind::kLeaveTarget, "t-1", "other-change");
  CheckFailed(run.Run({"leave", "domain", "kandy-1", "--base", "4"}), "operator nuwan made");
  CHECK(run.entry.record_.leaving_failure_domains.empty());
}

TEST(ChangeCommands, TheNextEntryIsTriedWhenOneIsNotReached) {
  run.entry.faults_ = {call_fault::kConnectFails, call_fault::kNone, call_fault::kConnectFails};
  const command_result result =
      run.Run({"--entry", "http://10.0.0.2:80", "leave", "domain", "kandy-1"});
  CHECK(result.code == exit_code::kDone);
  LONGS_EQUAL(4, run.calls.size());
  STRCMP_EQUAL("http://10.0.0.2:80/v1/operator/changes", run.calls.back().url.c_str());
}

TEST(ChangeCommands, NoEntryReachedMeansNothingWasDone) {
  run.entry.faults_ = {call_fault::kConnectFails};
  const command_result result = run.Run({"leave", "domain", "kandy-1", "--json"});
  CheckFailed(result, "http://10.0.0.1:80: connection refused");
  STRCMP_CONTAINS("\"error\":\"unreachable\"", result.out.c_str());
}

TEST(ChangeCommands, WaitReportsEachSetOfMissingProcessesOnce) {
  run.entry.missing_ = {{"entry-1", "t-1"}, {"t-1"}, {"t-1"}};
  const command_result result = run.Run({"wait", "4"});
  CHECK(result.code == exit_code::kDone);
  STRCMP_EQUAL("version 4: not confirmed by entry-1, t-1\nversion 4: not confirmed by t-1\n",
               result.err.c_str());
  STRCMP_EQUAL("version 4 is in force everywhere\n", result.out.c_str());
}

TEST(ChangeCommands, WaitAcceptsALaterVersion) {
  STRCMP_EQUAL("version 4 is in force everywhere, which follows 3\n",
               run.Run({"wait", "3"}).out.c_str());
}

TEST(ChangeCommands, WaitFailsAfterItsTimeout) {
  run.entry.missing_.assign(1000, {"t-1"});
  CheckFailed(run.Run({"wait", "4", "--timeout", "5"}),
              "version 4 is not yet in force: not confirmed by t-1");
  CheckFailed(run.Run({"wait", "9", "--timeout", "5"}), "the entry still has version 4");
}

TEST(ChangeCommands, WaitContinuesAfterTransientFailures) {
  run.entry.faults_ = {call_fault::kConnectFails, call_fault::kLostAnswer, call_fault::kTableDown};
  CHECK(run.Run({"wait", "4"}).code == exit_code::kDone);
}

TEST(ChangeCommands, AFailedWaitLeavesTheChangeCommitted) {
  run.entry.faults_ = {call_fault::kNone, call_fault::kNone, call_fault::kRefused};
  CheckFailed(run.Run({"leave", "domain", "kandy-1", "--wait"}),
              "version 5 is committed, but waiting failed: refused: no such token (answer 401 x)");
  LONGS_EQUAL(5, run.entry.record_.version);
}

TEST(ChangeCommands, AChangeWaitsOnRequest) {
  run.entry.missing_ = {{}, {"t-1"}};
  const command_result result = run.Run({"leave", "target", "t-1", "--wait"});
  STRCMP_CONTAINS("version 5: not confirmed by t-1", result.err.c_str());
  STRCMP_EQUAL("version 5 committed by change new-change\nversion 5 is in force everywhere\n",
               result.out.c_str());
}

}  // namespace wagtail
