#include "membership/target_row.h"

#include <limits>

#include "base/layer_error.h"
#include "base/verify.h"
#include "membership/membership_error.h"
#include "membership/row_text.h"

namespace wagtail {

namespace {

constexpr uint64_t kMaxSlots = 4096;
constexpr uint64_t kNumberLimit = std::numeric_limits<uint32_t>::max();
constexpr uint64_t kRevisionLimit = std::numeric_limits<uint64_t>::max();
constexpr std::string_view kAnnouncedText = "announced";
constexpr std::string_view kRetiredText = "retired";

absl::StatusOr<announcement_state> ReadState(const nlohmann::json& row) {
  std::string text = TRY(ReadText(row, "state"));
  if (text == kAnnouncedText) {
    return announcement_state::kAnnounced;
  }
  if (text == kRetiredText) {
    return announcement_state::kRetired;
  }
  return MakeError(membership_error::kBadRow, "unknown state of a target: " + text);
}

absl::Status CheckNumbers(const target_row& row) {
  if (row.incarnation.number == 0 || row.slots == 0) {
    return MakeError(membership_error::kBadRow, "incarnation and slots start at 1");
  }
  bool is_first = row.incarnation.number == 1 && row.state == announcement_state::kAnnounced;
  if (is_first != (row.first_revision == 0) || row.first_revision > row.previous_revision) {
    return MakeError(membership_error::kBadRow, "revisions do not match the incarnation");
  }
  return absl::OkStatus();
}

absl::StatusOr<target_row> ReadFields(const nlohmann::json& row) {
  target_row result;
  result.incarnation.target = TRY(ReadText(row, "target"));
  result.incarnation.number = TRY(ReadNumber(row, "incarnation", kRevisionLimit));
  result.service = TRY(ReadText(row, "service"));
  result.failure_domain = TRY(ReadText(row, "failure_domain"));
  result.address = TRY(ReadText(row, "address"));
  result.slots = static_cast<uint32_t>(TRY(ReadNumber(row, "slots", kMaxSlots)));
  result.cores = static_cast<uint32_t>(TRY(ReadNumber(row, "cores", kNumberLimit)));
  result.memory_mb = static_cast<uint32_t>(TRY(ReadNumber(row, "memory_mb", kNumberLimit)));
  result.accelerator = TRY(ReadText(row, "accelerator"));
  result.state = TRY(ReadState(row));
  result.first_revision = TRY(ReadNumber(row, "first_revision", kRevisionLimit));
  result.previous_revision = TRY(ReadNumber(row, "previous_revision", kRevisionLimit));
  return result;
}

uint64_t FirstRevision(const recorded_target_row& previous) {
  return previous.row.first_revision == 0 ? previous.revision : previous.row.first_revision;
}

}  // namespace

std::string TargetKey(std::string_view target) { return std::string(kTargetPrefix).append(target); }

std::string Serialise(const target_row& row) {
  auto state = row.state == announcement_state::kAnnounced ? kAnnouncedText : kRetiredText;
  return nlohmann::json{{"target", row.incarnation.target},
                        {"incarnation", row.incarnation.number},
                        {"service", row.service},
                        {"failure_domain", row.failure_domain},
                        {"address", row.address},
                        {"slots", row.slots},
                        {"cores", row.cores},
                        {"memory_mb", row.memory_mb},
                        {"accelerator", row.accelerator},
                        {"state", std::string(state)},
                        {"first_revision", row.first_revision},
                        {"previous_revision", row.previous_revision}}
      .dump();
}

absl::StatusOr<target_row> ParseTargetRow(std::string_view key, std::string_view value) {
  nlohmann::json row = TRY(ParseRowText(value));
  target_row result = TRY(ReadFields(row));
  if (key != TargetKey(result.incarnation.target)) {
    return MakeError(membership_error::kBadKey, "the row names another target than its key");
  }
  TRY(CheckNumbers(result));
  return result;
}

absl::StatusOr<target_row> NextAnnouncement(const target_row& wanted,
                                            const std::optional<recorded_target_row>& previous) {
  target_row result = wanted;
  result.state = announcement_state::kAnnounced;
  result.incarnation.number = 1;
  result.first_revision = 0;
  result.previous_revision = 0;
  if (!previous) {
    return result;
  }
  VERIFY(previous->row.incarnation.target == wanted.incarnation.target);
  if (previous->row.service != wanted.service) {
    return MakeError(membership_error::kBadChange, "a target's service never changes");
  }
  result.incarnation.number = previous->row.incarnation.number + 1;
  result.first_revision = FirstRevision(*previous);
  result.previous_revision = previous->revision;
  return result;
}

target_row Retirement(const recorded_target_row& announced) {
  VERIFY(announced.row.state == announcement_state::kAnnounced);
  target_row result = announced.row;
  result.state = announcement_state::kRetired;
  result.first_revision = FirstRevision(announced);
  result.previous_revision = announced.revision;
  return result;
}

}  // namespace wagtail
