#include "configuration/configuration_record.h"

#include <rapidcheck.h>

#include <string>

#include "configuration/audit_record.h"
#include "tests/configuration/sample_text.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

configuration_change Change(change_kind kind, std::string_view value, uint64_t base,
                            std::string_view id) {
  configuration_change change;
  change.change_id = id;
  change.author = "amara";
  change.base_version = base;
  change.kind = kind;
  (kind == change_kind::kApplyText ? change.text : change.subject) = value;
  return change;
}

configuration_record FirstVersion() {
  return *Apply({}, Change(change_kind::kApplyText, kSampleText, 0, "change-1"));
}

std::optional<configuration_error> ErrorFor(const configuration_record& current, change_kind kind,
                                            std::string_view value) {
  const configuration_change change = Change(kind, value, current.version, "change-x");
  return ErrorOf<configuration_error>(Apply(current, change).status());
}

}  // namespace

TEST_GROUP(ConfigurationRecord) { configuration_record first = FirstVersion(); };

TEST(ConfigurationRecord, ATextBecomesTheNextVersion) {
  CHECK(first.version == 1 && first.text == kSampleText);
  CHECK(first.change_id == "change-1" && first.author == "amara");
  const absl::StatusOr<configuration> parsed = ConfigurationOf(first);
  CHECK(parsed.ok() && parsed->version == 1 && parsed->services.size() == 3);
}

TEST(ConfigurationRecord, RoundTrip) {
  configuration_record record = first;
  record.leaving_failure_domains = {"kandy-1"};
  record.leaving_targets = {"t-1", "t-2"};
  const absl::StatusOr<configuration_record> read = ParseConfigurationRecord(Serialize(record));
  CHECK(read.ok());
  CHECK(*read == record);
}

TEST(ConfigurationRecord, DamagedRowsAreRefused) {
  const std::string row = Serialize(first);
  for (size_t length = 0; length < row.size(); length += 7) {
    const absl::Status status = ParseConfigurationRecord(row.substr(0, length)).status();
    CHECK(ErrorOf<configuration_error>(status) == configuration_error::kInvalidRecord);
  }
}

TEST(ConfigurationRecord, MarksAndReturnsADomain) {
  const configuration_record left =
      *Apply(first, Change(change_kind::kLeaveDomain, "kandy-1", 1, "change-2"));
  CHECK(left.version == 2 && left.leaving_failure_domains.contains("kandy-1"));
  CHECK_FALSE(ConfigurationOf(left)->Admits("t", "kandy-1"));
  const configuration_record back =
      *Apply(left, Change(change_kind::kReturnDomain, "kandy-1", 2, "change-3"));
  CHECK(back.version == 3 && back.leaving_failure_domains.empty());
}

TEST(ConfigurationRecord, MarksAndReturnsATarget) {
  const configuration_record left =
      *Apply(first, Change(change_kind::kLeaveTarget, "t-1", 1, "change-2"));
  CHECK_FALSE(ConfigurationOf(left)->Admits("t-1", "kandy-1"));
  CHECK(ErrorFor(left, change_kind::kLeaveTarget, "t-1") == configuration_error::kNoChange);
  CHECK(Apply(left, Change(change_kind::kReturnTarget, "t-1", 2, "change-3"))
            ->leaving_targets.empty());
}

TEST(ConfigurationRecord, ALeavingMarkSurvivesATextWithoutTheDomain) {
  const configuration_record left =
      *Apply(first, Change(change_kind::kLeaveDomain, "kandy-1", 1, "change-2"));
  std::string text(kSampleText);
  text.replace(text.find("kandy-1"), 7, "kandy-3");
  const configuration_record renamed =
      *Apply(left, Change(change_kind::kApplyText, text, 2, "change-3"));
  CHECK_FALSE(ConfigurationOf(renamed)->Admits("t", "kandy-1"));
  CHECK(Apply(renamed, Change(change_kind::kReturnDomain, "kandy-1", 3, "change-4")).ok());
}

TEST(ConfigurationRecord, RefusalsAreTyped) {
  CHECK(ErrorFor(first, change_kind::kLeaveDomain, "kandy-9") ==
        configuration_error::kUnknownDomain);
  CHECK(ErrorFor(first, change_kind::kReturnDomain, "kandy-9") ==
        configuration_error::kUnknownDomain);
  CHECK(ErrorFor(first, change_kind::kReturnDomain, "kandy-1") == configuration_error::kNoChange);
  CHECK(ErrorFor(first, change_kind::kReturnTarget, "t-1") == configuration_error::kNoChange);
  CHECK(ErrorFor(first, change_kind::kLeaveTarget, "") == configuration_error::kBadSubject);
  CHECK(ErrorFor(first, change_kind::kLeaveTarget, "a/b") == configuration_error::kBadSubject);
  CHECK(ErrorFor(first, change_kind::kApplyText, kSampleText) == configuration_error::kNoChange);
  CHECK(ErrorFor(first, change_kind::kApplyText, "{}") == configuration_error::kInvalidText);
}

TEST(ConfigurationRecord, AStaleBaseNamesTheOtherChange) {
  const absl::Status status =
      Apply(first, Change(change_kind::kLeaveTarget, "t-1", 0, "change-2")).status();
  CHECK(ErrorOf<configuration_error>(status) == configuration_error::kStaleBase);
  STRCMP_CONTAINS("amara", MessageOf(status).c_str());
  STRCMP_CONTAINS("change-1", MessageOf(status).c_str());
}

TEST(ConfigurationRecord, ARepeatedChangeIsDetected) {
  const absl::Status status =
      Apply(first, Change(change_kind::kApplyText, kSampleText, 0, "change-1")).status();
  CHECK(ErrorOf<configuration_error>(status) == configuration_error::kAlreadyApplied);
}

TEST(ConfigurationRecord, ChangeRequestRoundTrip) {
  for (const change_kind kind :
       {change_kind::kApplyText, change_kind::kLeaveDomain, change_kind::kReturnDomain,
        change_kind::kLeaveTarget, change_kind::kReturnTarget}) {
    configuration_change change = Change(kind, "kandy-1", 7, "change-2");
    change.author.clear();
    const absl::StatusOr<configuration_change> read =
        ParseChangeRequest(SerializeChangeRequest(change));
    CHECK(read.ok());
    CHECK(*read == change);
  }
  const absl::Status bad =
      ParseChangeRequest(R"({"change_id":"a","base_version":1,"kind":"x"})").status();
  STRCMP_CONTAINS("/kind: \"x\" is refused; allowed: apply_text", MessageOf(bad).c_str());
}

TEST(ConfigurationRecord, AuditRecordRoundTrip) {
  const configuration_change change = Change(change_kind::kLeaveDomain, "kandy-1", 7, "change-2");
  const audit_record record = AuditOfCommitted(change, "2026-12-04T02:15:00Z");
  CHECK(record.from_version == 7 && record.to_version == 8);
  const absl::StatusOr<audit_record> read = ParseAuditRecord(Serialize(record));
  CHECK(read.ok());
  CHECK(*read == record);
  CHECK_FALSE(ParseAuditRecord("{}").ok());
}

TEST(ConfigurationRecord, VersionsGrowByOneOverRandomChanges) {
  CHECK(rc::check("an accepted change makes the next version, a refused one none", [] {
    configuration_record current = FirstVersion();
    const auto steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      const auto kind = *rc::gen::element(change_kind::kLeaveDomain, change_kind::kReturnDomain,
                                          change_kind::kLeaveTarget, change_kind::kReturnTarget);
      const auto subject = *rc::gen::element<std::string>("kandy-1", "kandy-2", "kandy-9");
      const auto lag = *rc::gen::inRange<uint64_t>(0, 2);
      const configuration_change change =
          Change(kind, subject, current.version - lag, "c-" + std::to_string(step));
      const absl::StatusOr<configuration_record> next = Apply(current, change);
      if (next.ok()) {
        RC_ASSERT(lag == 0U);
        RC_ASSERT(next->version == current.version + 1);
        RC_ASSERT(*ParseConfigurationRecord(Serialize(*next)) == *next);
        current = *next;
      }
    }
  }));
}

}  // namespace wagtail
