#include "entry/configuration_controller.h"
#include "table/memory_table.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

const std::string kText = R"({
  "services": {"court-control": {}},
  "teams": {"club": {"token_sha256": ")" +
                          std::string(64, 'a') + R"("}},
  "operators": {"ana": {"token_sha256": ")" +
                          std::string(64, 'b') + R"("}},
  "failure_domains": ["zone-a", "zone-b"]})";

configuration_change ApplyText(const char* id) {
  configuration_change change;
  change.change_id = id;
  change.author = "ana";
  change.text = kText;
  return change;
}

configuration_change LeaveDomain(const char* id, uint64_t base, const char* author) {
  return {.change_id = id,
          .author = author,
          .base_version = base,
          .kind = change_kind::kLeaveDomain,
          .text = "",
          .subject = "zone-a"};
}

}  // namespace

TEST_GROUP(ChangeCommit) {
  table_fault next_commit = table_fault::kNone;
  memory_table rows{[this](table_operation operation) {
    return operation == table_operation::kCommit ? next_commit : table_fault::kNone;
  }};
  absl::StatusOr<audit_record> Commit(const configuration_change& change) {
    return CommitChange(rows, change, "2026-01-01T00:00:00Z");
  }
};

TEST(ChangeCommit, EachChangeMakesOneVersionAndOneAuditRecord) {
  LONGS_EQUAL(1, Commit(ApplyText("c1"))->to_version);
  LONGS_EQUAL(2, Commit(LeaveDomain("c2", 1, "ana"))->to_version);
  auto trail = ReadAuditTrail(rows, 0);
  LONGS_EQUAL(2, trail->size());
  STRCMP_EQUAL("c2", trail->back().change_id.c_str());
  LONGS_EQUAL(1, ReadAuditTrail(rows, 1)->size());
}

TEST(ChangeCommit, ResendingAChangeIsIdempotent) {
  Commit(ApplyText("c1")).IgnoreError();
  LONGS_EQUAL(2, Commit(LeaveDomain("c2", 1, "ana"))->to_version);
  LONGS_EQUAL(2, Commit(LeaveDomain("c2", 1, "ana"))->to_version);
  LONGS_EQUAL(2, ReadAuditTrail(rows, 0)->size());
}

TEST(ChangeCommit, OfTwoRacingOperatorsOneGetsAConflict) {
  Commit(ApplyText("c1")).IgnoreError();
  CHECK(Commit(LeaveDomain("c2", 1, "ana")).ok());
  absl::StatusOr<audit_record> other = Commit(LeaveDomain("c3", 1, "bo"));
  CHECK(ErrorOf<configuration_error>(other.status()) == configuration_error::kStaleBase);
}

TEST(ChangeCommit, ALostAnswerIsResolvedByTheChangeId) {
  Commit(ApplyText("c1")).IgnoreError();
  next_commit = table_fault::kLoseAnswer;
  LONGS_EQUAL(2, Commit(LeaveDomain("c2", 1, "ana"))->to_version);
  LONGS_EQUAL(2, ReadAuditTrail(rows, 0)->size());
}

TEST(ChangeCommit, ALostRequestIsNotReportedAsCommitted) {
  Commit(ApplyText("c1")).IgnoreError();
  next_commit = table_fault::kLoseRequest;
  absl::StatusOr<audit_record> lost = Commit(LeaveDomain("c2", 1, "ana"));
  CHECK(ErrorOf<table_error>(lost.status()) == table_error::kOutcomeUnknown);
  CHECK(FindChange(rows, "c2").status().code() == absl::StatusCode::kNotFound);
}

TEST(ChangeCommit, AnOutageLeavesNothingApplied) {
  next_commit = table_fault::kRefuse;
  CHECK(ErrorOf<table_error>(Commit(ApplyText("c1")).status()) == table_error::kUnavailable);
}

TEST_GROUP(ConfigurationController) {
  uint64_t announced = 0;
  configuration_controller controller{
      [this](const configuration& current) { announced = current.version; }};
  std::string Record(uint64_t version) {
    configuration_record record;
    record.version = version;
    record.text = kText;
    record.change_id = "c1";
    record.author = "ana";
    return Serialize(record);
  }
};

TEST(ConfigurationController, NeverRevertsToAnOlderVersion) {
  CHECK(controller.Install(Record(2), 20));
  CHECK(controller.Install(Record(1), 10));
  LONGS_EQUAL(2, controller.current().version);
  LONGS_EQUAL(2, announced);
}

TEST(ConfigurationController, ReportsAnUnreadableRecord) {
  CHECK_FALSE(controller.Install("no json", 20));
  LONGS_EQUAL(0, controller.revision());
}

}  // namespace wagtail
