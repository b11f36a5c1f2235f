#include "configuration/configuration_record.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/try.h"
#include "base/verify.h"
#include "configuration/configuration_limits.h"
#include "configuration/configuration_text.h"
#include "settings/settings_text.h"

namespace wagtail {

namespace {

using name_set = std::set<std::string, std::less<>>;

name_set ReadNames(object_reader& reader, std::string_view key, size_t most) {
  std::vector<std::string> names = reader.Texts(key, most, NameRule());
  return {std::make_move_iterator(names.begin()), std::make_move_iterator(names.end())};
}

void ReadRecord(object_reader& reader, configuration_record* out) {
  out->version = reader.RequiredUnsigned("version", {1, std::numeric_limits<uint64_t>::max()});
  out->text = reader.RequiredText("text", {.min_bytes = 0, .max_bytes = kMaxConfigurationBytes});
  out->leaving_failure_domains = ReadNames(reader, "leaving_failure_domains", kMaxFailureDomains);
  out->leaving_targets = ReadNames(reader, "leaving_targets", kMaxLeavingTargets);
  out->change_id = reader.RequiredText("change_id", NameRule());
  out->author = reader.RequiredText("author", NameRule());
}

absl::Status NoChange(std::string_view subject, std::string_view state) {
  return MakeError(configuration_error::kNoChange,
                   absl::StrCat(std::string(subject), " ", std::string(state)));
}

absl::Status CheckBase(const configuration_record& current, const configuration_change& change) {
  if (current.version != 0 && current.change_id == change.change_id) {
    return MakeError(
        configuration_error::kAlreadyApplied,
        absl::StrCat("change ", change.change_id, " already made version ", current.version));
  }
  if (current.version == change.base_version) {
    return absl::OkStatus();
  }
  return MakeError(
      configuration_error::kStaleBase,
      absl::StrCat("based on version ", change.base_version, ", but ", current.author,
                   " made version ", current.version, " with change ", current.change_id));
}

absl::Status ApplyText(const configuration_change& change, configuration_record* next) {
  TRY(ParseConfiguration(change.text, "text"));
  if (next->text == change.text) {
    return NoChange("the text", "is the one in force");
  }
  next->text = change.text;
  return absl::OkStatus();
}

absl::Status CheckDomain(const configuration_record& record, const std::string& domain) {
  const configuration parsed = TRY(ConfigurationOf(record));
  if (parsed.failure_domains.contains(domain)) {
    return absl::OkStatus();
  }
  return MakeError(configuration_error::kUnknownDomain,
                   absl::StrCat("the text names no failure domain ", Shown(domain)));
}

absl::Status AddLeaving(const std::string& subject, size_t most, name_set* leaving) {
  if (leaving->contains(subject)) {
    return NoChange(subject, "is leaving already");
  }
  if (leaving->size() >= most) {
    return MakeError(configuration_error::kTooMany,
                     absl::StrCat(most, " are leaving already, which is the limit"));
  }
  leaving->insert(subject);
  return absl::OkStatus();
}

absl::Status RemoveLeaving(const std::string& subject, name_set* leaving) {
  return leaving->erase(subject) == 1 ? absl::OkStatus() : NoChange(subject, "is not leaving");
}

/// A domain that the text no longer names may still return while it is marked.
absl::Status ReturnDomain(const std::string& domain, configuration_record* next) {
  if (!next->leaving_failure_domains.contains(domain)) {
    TRY(CheckDomain(*next, domain));
  }
  return RemoveLeaving(domain, &next->leaving_failure_domains);
}

absl::Status ApplyKind(const configuration_change& change, configuration_record* next) {
  if (change.kind == change_kind::kApplyText) {
    return ApplyText(change, next);
  }
  if (!IsName(change.subject)) {
    return MakeError(configuration_error::kBadSubject,
                     absl::StrCat("\"", Shown(change.subject),
                                  "\" is refused; allowed: ", std::string(NameRule().allowed)));
  }
  switch (change.kind) {
    case change_kind::kLeaveDomain:
      TRY(CheckDomain(*next, change.subject));
      return AddLeaving(change.subject, kMaxFailureDomains, &next->leaving_failure_domains);
    case change_kind::kReturnDomain:
      return ReturnDomain(change.subject, next);
    case change_kind::kLeaveTarget:
      return AddLeaving(change.subject, kMaxLeavingTargets, &next->leaving_targets);
    case change_kind::kReturnTarget:
      return RemoveLeaving(change.subject, &next->leaving_targets);
    case change_kind::kApplyText:
      break;
  }
  VERIFY_NOT_REACHED();
}

}  // namespace

std::string Serialize(const configuration_record& record) {
  const nlohmann::json row = {{"version", record.version},
                              {"text", record.text},
                              {"leaving_failure_domains", record.leaving_failure_domains},
                              {"leaving_targets", record.leaving_targets},
                              {"change_id", record.change_id},
                              {"author", record.author}};
  return row.dump();
}

absl::StatusOr<configuration_record> ParseConfigurationRecord(std::string_view text) {
  configuration_record record;
  const absl::Status status = ReadSettings(
      text, "configuration", [&record](object_reader& reader) { ReadRecord(reader, &record); });
  if (!status.ok()) {
    return MakeError(configuration_error::kInvalidRecord, MessageOf(status));
  }
  return record;
}

absl::StatusOr<configuration> ConfigurationOf(const configuration_record& record) {
  configuration parsed;
  if (!record.text.empty()) {
    parsed = TRY(ParseConfiguration(record.text, "configuration"));
  }
  parsed.version = record.version;
  parsed.leaving_failure_domains = record.leaving_failure_domains;
  parsed.leaving_targets = record.leaving_targets;
  return parsed;
}

absl::StatusOr<configuration_record> Apply(const configuration_record& current,
                                           const configuration_change& change) {
  TRY(CheckBase(current, change));
  configuration_record next = current;
  TRY(ApplyKind(change, &next));
  next.version = current.version + 1;
  next.change_id = change.change_id;
  next.author = change.author;
  return next;
}

}  // namespace wagtail
