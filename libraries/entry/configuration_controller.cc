#include "entry/configuration_controller.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_format.h"
#include "base/try.h"
#include "base/verify.h"
#include "logging/logging.h"

namespace wagtail {

namespace {

struct stored_configuration {
  configuration_record record;
  uint64_t revision = 0;
};

std::string AuditKey(uint64_t version) {
  return absl::StrFormat("%s%020u", std::string(kAuditPrefix), version);
}

std::string ChangeKey(std::string_view change_id) {
  return std::string(kChangePrefix) + std::string(change_id);
}

absl::StatusOr<stored_configuration> ReadConfiguration(table& table) {
  table_changes changes = TRY(table.Read(kConfigurationKey, 0));
  auto row = std::ranges::find(changes.rows, kConfigurationKey, &table_row::key);
  if (row == changes.rows.end() || !row->value.has_value()) {
    return stored_configuration{};
  }
  configuration_record record = TRY(ParseConfigurationRecord(*row->value));
  return stored_configuration{.record = std::move(record), .revision = row->revision};
}

absl::StatusOr<std::vector<audit_record>> ReadAudit(table& table) {
  table_changes changes = TRY(table.Read(kAuditPrefix, 0));
  std::vector<audit_record> trail;
  for (const table_row& row : changes.rows) {
    if (row.value.has_value()) {
      trail.push_back(TRY(ParseAuditRecord(*row.value)));
    }
  }
  std::ranges::sort(trail, {}, &audit_record::to_version);
  return trail;
}

}  // namespace

bool configuration_controller::Install(std::string_view text, uint64_t revision) {
  if (revision <= revision_) {
    return true;
  }
  absl::StatusOr<configuration_record> record = ParseConfigurationRecord(text);
  absl::StatusOr<configuration> parsed =
      record.ok() ? ConfigurationOf(*record) : absl::StatusOr<configuration>(record.status());
  if (!parsed.ok()) {
    LogFact(log_level::kError, "configuration_unreadable", {{"error", MessageOf(parsed.status())}});
    return false;
  }
  // Versions never decrease: configuration versions and table revisions grow together.
  VERIFY(parsed->version > current_.version);
  current_ = *std::move(parsed);
  record_ = *std::move(record);
  revision_ = revision;
  LogFact(log_level::kInfo, "configuration_taken_over",
          {{"version", std::to_string(current_.version)}, {"change", record_.change_id}});
  on_change_(current_);
  return true;
}

absl::StatusOr<audit_record> CommitChange(table& table, configuration_change change,
                                          std::string_view when) {
  absl::StatusOr<audit_record> earlier = FindChange(table, change.change_id);
  if (earlier.ok() || earlier.status().code() != absl::StatusCode::kNotFound) {
    return earlier;
  }
  stored_configuration present = TRY(ReadConfiguration(table));
  // A leave or return applies to any version; a text replaces the version that its author read.
  if (change.base_version == 0 && change.kind != change_kind::kApplyText) {
    change.base_version = present.record.version;
  }
  configuration_record next = TRY(Apply(present.record, change));
  audit_record audit = AuditOfCommitted(change, when);
  table_transaction write;
  write.conditions.push_back({.key = std::string(kConfigurationKey), .revision = present.revision});
  write.writes.push_back({.key = std::string(kConfigurationKey), .value = Serialize(next)});
  write.writes.push_back({.key = AuditKey(next.version), .value = Serialize(audit)});
  write.writes.push_back({.key = ChangeKey(change.change_id), .value = Serialize(audit)});
  absl::StatusOr<uint64_t> committed = table.Commit(write);
  if (committed.ok()) {
    return audit;
  }
  if (ErrorOf<table_error>(committed.status()) == table_error::kOutcomeUnknown) {
    absl::StatusOr<audit_record> found = FindChange(table, change.change_id);
    if (found.ok()) {
      return found;
    }
  }
  return committed.status();
}

absl::StatusOr<configuration_record> ReadCurrentRecord(table& table) {
  stored_configuration present = TRY(ReadConfiguration(table));
  return std::move(present.record);
}

absl::StatusOr<audit_record> FindChange(table& table, std::string_view change_id) {
  std::string key = ChangeKey(change_id);
  table_changes changes = TRY(table.Read(key, 0));
  auto row = std::ranges::find(changes.rows, key, &table_row::key);
  if (row == changes.rows.end() || !row->value.has_value()) {
    return absl::NotFoundError("no change with this id was committed");
  }
  return ParseAuditRecord(*row->value);
}

absl::StatusOr<std::vector<audit_record>> ReadAuditTrail(table& table, uint64_t after_version) {
  std::vector<audit_record> trail = TRY(ReadAudit(table));
  std::erase_if(trail, [after_version](const audit_record& record) {
    return record.to_version <= after_version;
  });
  return trail;
}

}  // namespace wagtail
