#include "utilities/wagtailctl/change_submission.h"

#include <chrono>
#include <optional>

#include "absl/strings/str_cat.h"

namespace wagtail {

namespace {

constexpr duration kRetryInterval = std::chrono::milliseconds(500);

/// @return whether the outcome of an attempt that ended with `status` is unknown
bool IsOutcomeUnknown(const absl::Status& status) {
  const std::optional<entry_error> error = ErrorOf<entry_error>(status);
  return error == entry_error::kNoAnswer || error == entry_error::kBadAnswer;
}

/// @return whether `status`, received after an attempt of unknown outcome, proves that the change
///   can no longer be committed: its base version is superseded. Other refusals may concern one
///   attempt only.
bool ProvesRefusal(const absl::Status& status) {
  return ErrorOf<entry_error>(status) == entry_error::kConflict;
}

std::optional<committed_change> FindCommitted(const configuration_change& change,
                                              const time_budget& budget, entry_client& client) {
  const absl::StatusOr<audit_record> found =
      client.FindChange(change.change_id, budget.CallTimeout());
  if (!found.ok() || found->outcome != audit_outcome::kCommitted) {
    return std::nullopt;
  }
  return committed_change{.change_id = change.change_id, .version = found->to_version};
}

/// The conflict may be with a later change, if an earlier attempt already committed this one.
absl::StatusOr<committed_change> FindCommittedOrConflict(const absl::Status& conflict,
                                                         const configuration_change& change,
                                                         const time_budget& budget,
                                                         entry_client& client) {
  const std::optional<committed_change> found = FindCommitted(change, budget, client);
  if (found.has_value()) {
    return *found;
  }
  return conflict;
}

absl::Status OutcomeUnknown(const configuration_change& change, const absl::Status& last) {
  return MakeError(entry_error::kUnknown,
                   absl::StrCat("the outcome is unknown: ", MessageOf(last),
                                "; settle it by the same command with --change-id ",
                                change.change_id, " --base ", change.base_version));
}

/// Retries a change after an attempt of unknown outcome.
absl::StatusOr<committed_change> Settle(const configuration_change& change, absl::Status last,
                                        const time_budget& budget, entry_client& client,
                                        command_context& context) {
  while (true) {
    const std::optional<committed_change> found = FindCommitted(change, budget, client);
    if (found.has_value()) {
      return *found;
    }
    if (budget.remaining() <= kRetryInterval) {
      return OutcomeUnknown(change, last);
    }
    context.err << "outcome unknown, retrying change " << change.change_id << "\n";
    context.sleep(kRetryInterval);
    absl::StatusOr<committed_change> result = client.SubmitChange(change, budget.CallTimeout());
    if (result.ok()) {
      return result;
    }
    if (ProvesRefusal(result.status())) {
      return FindCommittedOrConflict(result.status(), change, budget, client);
    }
    last = result.status();
  }
}

}  // namespace

absl::StatusOr<committed_change> SubmitAndSettle(const configuration_change& change,
                                                 const time_budget& budget, entry_client& client,
                                                 command_context& context) {
  absl::StatusOr<committed_change> first = client.SubmitChange(change, budget.CallTimeout());
  if (first.ok() || !IsOutcomeUnknown(first.status())) {
    return first;
  }
  return Settle(change, first.status(), budget, client, context);
}

}  // namespace wagtail
