#include "utilities/wagtailctl/change_commands.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "base/try.h"
#include "configuration/configuration_text.h"
#include "settings/settings_text.h"
#include "utilities/wagtailctl/change_submission.h"

namespace wagtail {

namespace {

constexpr duration kPollInterval = std::chrono::milliseconds(500);
constexpr size_t kMaxNamesShown = 20;

std::string JoinNames(const std::vector<std::string>& names) {
  const size_t shown = std::min(names.size(), kMaxNamesShown);
  std::string text =
      absl::StrJoin(names.begin(), names.begin() + static_cast<ptrdiff_t>(shown), ", ");
  if (shown < names.size()) {
    absl::StrAppend(&text, " and ", names.size() - shown, " more");
  }
  return text;
}

absl::StatusOr<configuration_change> BuildChange(const command_line& line,
                                                 const time_budget& budget, entry_client& client,
                                                 command_context& context) {
  configuration_change change;
  change.change_id = line.change_id.empty() ? context.new_change_id() : line.change_id;
  change.kind = line.kind;
  change.subject = line.subject;
  if (line.kind == change_kind::kApplyText) {
    change.text = TRY(ReadTextFile(line.file));
    TRY(ParseConfiguration(change.text, line.file));
  }
  if (line.base_version.has_value()) {
    change.base_version = *line.base_version;
    return change;
  }
  const configuration_view view = TRY(client.Configuration(budget.CallTimeout()));
  change.base_version = view.record.version;
  return change;
}

void PrintCommitted(const committed_change& committed, output_form form, std::ostream& out) {
  if (form == output_form::kHuman) {
    out << "version " << committed.version << " committed by change " << committed.change_id
        << "\n";
    return;
  }
  const nlohmann::json result = {
      {"version", committed.version}, {"change_id", committed.change_id}, {"outcome", "committed"}};
  out << result.dump() << "\n";
}

void PrintInForce(uint64_t requested, uint64_t version, output_form form, std::ostream& out) {
  if (form == output_form::kJson) {
    out << nlohmann::json{{"version", version}, {"in_force", true}}.dump() << "\n";
    return;
  }
  out << "version " << version << " is in force everywhere";
  out << (version > requested ? absl::StrCat(", which follows ", requested) : "") << "\n";
}

/// Describes why a version is not in force yet, from one read of the configuration.
std::string DescribeProgress(uint64_t requested, const absl::StatusOr<configuration_view>& view) {
  if (!view.ok()) {
    return MessageOf(view.status());
  }
  if (view->record.version < requested) {
    return absl::StrCat("the entry still has version ", view->record.version);
  }
  if (view->missing.empty()) {
    return "not confirmed by enough entries";
  }
  return absl::StrCat("not confirmed by ", JoinNames(view->missing));
}

/// Adds to a failed wait that the change itself stays committed.
absl::Status WaitResultAfterCommit(const committed_change& committed, const absl::Status& wait) {
  if (wait.ok()) {
    return wait;
  }
  const entry_error error = ErrorOf<entry_error>(wait).value_or(entry_error::kNoAnswer);
  return MakeError(error, absl::StrCat("version ", committed.version,
                                       " is committed, but waiting failed: ", MessageOf(wait)));
}

/// @return whether the failure is permanent, so that polling again is useless
bool IsPermanent(const absl::Status& status) {
  const std::optional<entry_error> error = ErrorOf<entry_error>(status);
  return error == entry_error::kRefused || error == entry_error::kBadAnswer;
}

}  // namespace

absl::Status RunChange(const command_line& line, const time_budget& budget, entry_client& client,
                       command_context& context) {
  const configuration_change change = TRY(BuildChange(line, budget, client, context));
  const committed_change committed = TRY(SubmitAndSettle(change, budget, client, context));
  PrintCommitted(committed, line.form, context.out);
  if (line.after == after_change::kReturn) {
    return absl::OkStatus();
  }
  return WaitResultAfterCommit(committed,
                               WaitInForce(committed.version, line.form, budget, client, context));
}

absl::Status WaitInForce(uint64_t version, output_form form, const time_budget& budget,
                         entry_client& client, command_context& context) {
  std::string last_progress;
  while (true) {
    const absl::StatusOr<configuration_view> view = client.Configuration(budget.CallTimeout());
    if (view.ok() && view->in_force && view->record.version >= version) {
      PrintInForce(version, view->record.version, form, context.out);
      return absl::OkStatus();
    }
    if (!view.ok() && IsPermanent(view.status())) {
      return view.status();
    }
    std::string progress = DescribeProgress(version, view);
    if (budget.remaining() <= kPollInterval) {
      return MakeError(entry_error::kTimedOut,
                       absl::StrCat("version ", version, " is not yet in force: ", progress));
    }
    if (progress != last_progress) {
      context.err << "version " << version << ": " << progress << "\n";
      last_progress = std::move(progress);
    }
    context.sleep(kPollInterval);
  }
}

}  // namespace wagtail
