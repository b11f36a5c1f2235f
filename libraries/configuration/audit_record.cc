#include "configuration/audit_record.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "configuration/configuration_text.h"
#include "settings/settings_text.h"

namespace wagtail {

namespace {

constexpr value_range<uint64_t> kAnyVersion = {0, std::numeric_limits<uint64_t>::max()};
constexpr size_t kMaxTimeBytes = 40;

void ReadAudit(object_reader& reader, audit_record* out) {
  out->change_id = reader.RequiredText("change_id", NameRule());
  out->author = reader.RequiredText("author", NameRule());
  out->when = reader.RequiredText("when", {.max_bytes = kMaxTimeBytes});
  out->from_version = reader.RequiredUnsigned("from_version", kAnyVersion);
  out->to_version = reader.RequiredUnsigned("to_version", kAnyVersion);
  const std::optional<change_kind> kind = ChangeKindOf(reader.RequiredText("kind"));
  if (!kind.has_value()) {
    reader.Refuse("kind", "a kind of change");
  }
  out->kind = kind.value_or(change_kind::kApplyText);
  out->subject = reader.Text("subject", "", NameRule());
  out->outcome = reader.Choice<audit_outcome>(
      "outcome", audit_outcome::kCommitted,
      {{"committed", audit_outcome::kCommitted}, {"refused", audit_outcome::kRefused}});
}

}  // namespace

std::string_view ToString(audit_outcome outcome) {
  return outcome == audit_outcome::kCommitted ? "committed" : "refused";
}

audit_record AuditOfCommitted(const configuration_change& change, std::string_view when) {
  return {.change_id = change.change_id,
          .author = change.author,
          .when = std::string(when),
          .from_version = change.base_version,
          .to_version = change.base_version + 1,
          .kind = change.kind,
          .subject = change.subject,
          .outcome = audit_outcome::kCommitted};
}

std::string Serialize(const audit_record& record) {
  nlohmann::json row = {{"change_id", record.change_id},
                        {"author", record.author},
                        {"when", record.when},
                        {"from_version", record.from_version},
                        {"to_version", record.to_version},
                        {"kind", ToString(record.kind)},
                        {"outcome", ToString(record.outcome)}};
  if (!record.subject.empty()) {
    row["subject"] = record.subject;
  }
  return row.dump();
}

absl::StatusOr<audit_record> ParseAuditRecord(std::string_view text) {
  audit_record record;
  const absl::Status status =
      ReadSettings(text, "audit", [&record](object_reader& reader) { ReadAudit(reader, &record); });
  if (!status.ok()) {
    return MakeError(configuration_error::kInvalidRecord, MessageOf(status));
  }
  return record;
}

}  // namespace wagtail
