#include "configuration/configuration_change.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>

#include "configuration/configuration_limits.h"
#include "configuration/configuration_text.h"
#include "settings/settings_text.h"

namespace wagtail {

namespace {

struct kind_name {
  change_kind kind;
  std::string_view name;
};

constexpr std::array kKindNames = {
    kind_name{change_kind::kApplyText, "apply_text"},
    kind_name{change_kind::kLeaveDomain, "leave_domain"},
    kind_name{change_kind::kReturnDomain, "return_domain"},
    kind_name{change_kind::kLeaveTarget, "leave_target"},
    kind_name{change_kind::kReturnTarget, "return_target"},
};

void ReadChange(object_reader& reader, configuration_change* out) {
  out->change_id = reader.RequiredText("change_id", NameRule());
  out->base_version =
      reader.RequiredUnsigned("base_version", {0, std::numeric_limits<uint64_t>::max()});
  const std::string name = reader.RequiredText("kind");
  const std::optional<change_kind> kind = ChangeKindOf(name);
  if (!kind.has_value()) {
    reader.Refuse("kind", "apply_text, leave_domain, return_domain, leave_target, return_target");
    return;
  }
  out->kind = *kind;
  if (out->kind == change_kind::kApplyText) {
    out->text = reader.RequiredText("text", {.max_bytes = kMaxConfigurationBytes});
  } else {
    out->subject = reader.RequiredText("subject", NameRule());
  }
}

}  // namespace

std::string_view ToString(change_kind kind) {
  return std::ranges::find(kKindNames, kind, &kind_name::kind)->name;
}

std::optional<change_kind> ChangeKindOf(std::string_view name) {
  const auto* found = std::ranges::find(kKindNames, name, &kind_name::name);
  return found == kKindNames.end() ? std::nullopt : std::optional(found->kind);
}

std::string SerializeChangeRequest(const configuration_change& change) {
  nlohmann::json body = {{"change_id", change.change_id},
                         {"base_version", change.base_version},
                         {"kind", ToString(change.kind)}};
  if (change.kind == change_kind::kApplyText) {
    body["text"] = change.text;
  } else {
    body["subject"] = change.subject;
  }
  return body.dump();
}

absl::StatusOr<configuration_change> ParseChangeRequest(std::string_view body) {
  configuration_change change;
  const absl::Status status = ReadSettings(
      body, "change", [&change](object_reader& reader) { ReadChange(reader, &change); });
  if (!status.ok()) {
    return MakeError(configuration_error::kInvalidRecord, MessageOf(status));
  }
  return change;
}

}  // namespace wagtail
