#include "utilities/wagtailctl/commands.h"

#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "base/try.h"
#include "base/verify.h"
#include "configuration/configuration_difference.h"
#include "configuration/configuration_text.h"
#include "settings/settings_text.h"
#include "utilities/wagtailctl/answer_table.h"
#include "utilities/wagtailctl/change_commands.h"
#include "utilities/wagtailctl/fleet_report.h"
#include "utilities/wagtailctl/job_timeline.h"
#include "utilities/wagtailctl/loss_report.h"

namespace wagtail {

namespace {

constexpr duration kDefaultTimeout = std::chrono::seconds(10);
constexpr duration kDefaultWaitTimeout = std::chrono::seconds(60);

constexpr std::array<std::string_view, 9> kTargetColumns = {
    "name",  "incarnation", "service", "failure_domain",   "state",
    "slots", "running",     "queued",  "confirmed_version"};
constexpr std::array<std::string_view, 5> kJobColumns = {"job", "team", "stage", "tasks",
                                                         "handed_over"};
constexpr std::array<std::string_view, 8> kAuditColumns = {
    "when", "author", "kind", "subject", "from_version", "to_version", "outcome", "change_id"};

bool WaitsUntilInForce(const command_line& line) {
  return line.command == command_name::kWait || line.after == after_change::kWaitInForce;
}

duration TimeoutOf(const command_line& line) {
  if (line.timeout.has_value()) {
    return *line.timeout;
  }
  return WaitsUntilInForce(line) ? kDefaultWaitTimeout : kDefaultTimeout;
}

absl::StatusOr<std::string> ReadToken(const std::string& file) {
  if (file.empty()) {
    return std::string();
  }
  const std::string text = TRY(ReadTextFile(file));
  std::string token(absl::StripAsciiWhitespace(text));
  const bool printable = std::ranges::all_of(
      token, [](unsigned char character) { return absl::ascii_isgraph(character); });
  if (token.empty() || !printable) {
    return MakeError(settings_error::kInvalid,
                     file + ": must hold a token of printable characters");
  }
  return token;
}

/// Runs check, which needs no entry.
absl::Status RunCheck(const command_line& line, command_context& context) {
  const std::string text = TRY(ReadTextFile(line.file));
  const configuration parsed = TRY(ParseConfiguration(text, line.file));
  if (line.form == output_form::kJson) {
    const nlohmann::json result = {{"accepted", true},
                                   {"services", parsed.services.size()},
                                   {"teams", parsed.teams.size()},
                                   {"operators", parsed.operators.size()},
                                   {"failure_domains", parsed.failure_domains.size()}};
    context.out << result.dump() << "\n";
    return absl::OkStatus();
  }
  context.out << line.file << ": accepted: " << parsed.services.size() << " services, "
              << parsed.teams.size() << " teams, " << parsed.operators.size() << " operators, "
              << parsed.failure_domains.size() << " failure domains\n";
  return absl::OkStatus();
}

nlohmann::json EventToJson(const timeline_event& line) {
  return {{"time", line.time}, {"after_ms", line.after_ms}, {"process", line.process},
          {"fact", line.fact}, {"fields", line.fields},     {"of_job", line.of_job}};
}

void PrintTimeline(const job_timeline& timeline, std::ostream& out) {
  for (const timeline_event& line : timeline.lines) {
    out << absl::StrFormat("%10.1f ms %c %-24s %s %s\n", line.after_ms, line.of_job ? ' ' : '~',
                           line.process, line.fact, line.fields);
  }
  out << timeline.conclusion << "\n";
  if (!timeline.cause.empty()) {
    out << "cause: " << timeline.cause << "\n";
  }
  if (!timeline.remedy.empty()) {
    out << "what helps: " << timeline.remedy << "\n";
  }
}

/// Passes all logs of the command line to a reader.
template <typename Reader>
void ReadLogs(const command_line& line, command_context& context, Reader& reader) {
  if (line.logs.empty()) {
    reader.Read(context.in, "standard input");
  }
  for (const std::string& file : line.logs) {
    std::ifstream log(file);
    reader.Read(log, std::filesystem::path(file).stem().string());
  }
}

/// Runs explain, which needs no entry, only logs.
absl::Status RunExplain(const command_line& line, command_context& context) {
  timeline_reader reader(line.job);
  ReadLogs(line, context, reader);
  const job_timeline timeline = reader.Timeline();
  if (line.form == output_form::kHuman) {
    PrintTimeline(timeline, context.out);
    return absl::OkStatus();
  }
  nlohmann::json lines = nlohmann::json::array();
  std::ranges::transform(timeline.lines, std::back_inserter(lines),
                         [](const timeline_event& each) { return EventToJson(each); });
  context.out << nlohmann::json{{"lines", lines},
                                {"conclusion", timeline.conclusion},
                                {"cause", timeline.cause},
                                {"remedy", timeline.remedy}}
                     .dump()
              << "\n";
  return absl::OkStatus();
}

nlohmann::json LossesToJson(const loss_table& table) {
  nlohmann::json intervals = nlohmann::json::array();
  for (const loss_interval& interval : table.intervals) {
    intervals.push_back(
        {{"begin", absl::FormatTime(absl::RFC3339_full, interval.begin, absl::UTCTimeZone())},
         {"in_time", interval.in_time},
         {"lost", interval.lost}});
  }
  return {{"intervals", intervals},
          {"by_queue", table.by_queue},
          {"in_time", table.in_time},
          {"total", table.total}};
}

/// Runs losses, which needs no entry, only logs.
absl::Status RunLosses(const command_line& line, command_context& context) {
  loss_reader reader(absl::Milliseconds(line.interval_ms));
  ReadLogs(line, context, reader);
  const loss_table table = reader.Table();
  if (!line.svg_file.empty()) {
    std::ofstream svg(line.svg_file);
    svg << LossSvg(table);
    svg.close();
    if (!svg) {
      return absl::UnknownError("can't write " + line.svg_file);
    }
  }
  if (line.form == output_form::kHuman) {
    context.out << LossText(table);
  } else {
    context.out << LossesToJson(table).dump() << "\n";
  }
  return absl::OkStatus();
}

/// Runs fleet, which needs no entry, only logs.
absl::Status RunFleet(const command_line& line, command_context& context) {
  fleet_reader reader;
  ReadLogs(line, context, reader);
  if (line.form == output_form::kHuman) {
    context.out << FleetText(reader.members());
    return absl::OkStatus();
  }
  nlohmann::json members = nlohmann::json::object();
  for (const auto& [vm, member] : reader.members()) {
    members[vm] = {{"program", member.program},
                   {"version", member.version},
                   {"commit", member.commit},
                   {"protocol", member.protocol}};
  }
  context.out << members.dump() << "\n";
  return absl::OkStatus();
}

nlohmann::json DifferenceToJson(const configuration_difference& difference) {
  nlohmann::json row = {{"path", difference.path}};
  switch (difference.kind) {
    case difference_kind::kAdded:
      row["kind"] = "added";
      return row;
    case difference_kind::kRemoved:
      row["kind"] = "removed";
      return row;
    case difference_kind::kChanged:
      row["kind"] = "changed";
      row["before"] = difference.before;
      row["after"] = difference.after;
      return row;
  }
  VERIFY_NOT_REACHED();
}

/// Runs diff: prints the changes that applying the file would make. Leaving marks are not part of
/// the file and stay as they are, so they are not compared.
absl::Status RunDiff(const command_line& line, const time_budget& budget, entry_client& client,
                     command_context& context) {
  const std::string text = TRY(ReadTextFile(line.file));
  const configuration after = TRY(ParseConfiguration(text, line.file));
  configuration_view view = TRY(client.Configuration(budget.CallTimeout()));
  view.record.leaving_failure_domains.clear();
  view.record.leaving_targets.clear();
  const configuration before = TRY(ConfigurationOf(view.record));
  const auto found = DiffConfigurations(before, after);
  if (line.form == output_form::kJson) {
    nlohmann::json rows = nlohmann::json::array();
    std::ranges::transform(found, std::back_inserter(rows), DifferenceToJson);
    context.out << nlohmann::json{{"version", before.version}, {"differences", rows}}.dump()
                << "\n";
    return absl::OkStatus();
  }
  for (const configuration_difference& difference : found) {
    context.out << ToString(difference) << "\n";
  }
  context.out << found.size() << " differences from version " << before.version << "\n";
  return absl::OkStatus();
}

absl::Status PrintBody(std::string_view body, output_form form,
                       std::span<const std::string_view> columns, std::ostream& out) {
  if (form == output_form::kHuman) {
    return PrintAnswer(body, columns, out);
  }
  out << absl::StripAsciiWhitespace(std::string(body)) << "\n";
  return absl::OkStatus();
}

absl::Status RunGet(std::string_view path, std::span<const std::string_view> columns,
                    const command_line& line, const time_budget& budget, entry_client& client,
                    command_context& context) {
  const std::string body = TRY(client.Get(path, budget.CallTimeout()));
  return PrintBody(body, line.form, columns, context.out);
}

absl::Status RunCancel(const command_line& line, const time_budget& budget, entry_client& client,
                       command_context& context) {
  const std::string path = absl::StrCat("/v1/operator/jobs/", line.job, "/cancel");
  const std::string body = TRY(client.Post(path, "{}", budget.CallTimeout()));
  return PrintBody(body, line.form, kJobColumns, context.out);
}

absl::Status RunWithEntries(const command_line& line, command_context& context) {
  const std::string token = TRY(ReadToken(line.token_file));
  entry_client client({.entries = line.entries, .token = token}, context.http);
  const time_budget budget(context.now, TimeoutOf(line));
  switch (line.command) {
    case command_name::kApply:
    case command_name::kLeave:
    case command_name::kReturn:
      return RunChange(line, budget, client, context);
    case command_name::kWait:
      return WaitInForce(line.version, line.form, budget, client, context);
    case command_name::kDiff:
      return RunDiff(line, budget, client, context);
    case command_name::kStatus:
      return RunGet("/v1/operator/status", {}, line, budget, client, context);
    case command_name::kTargets:
      return RunGet("/v1/operator/targets", kTargetColumns, line, budget, client, context);
    case command_name::kJobs:
      return RunGet("/v1/operator/jobs", kJobColumns, line, budget, client, context);
    case command_name::kAudit:
      return RunGet(absl::StrCat("/v1/operator/audit?after=", line.version), kAuditColumns, line,
                    budget, client, context);
    case command_name::kCancel:
      return RunCancel(line, budget, client, context);
    case command_name::kCheck:
    case command_name::kExplain:
    case command_name::kLosses:
    case command_name::kFleet:
      break;
  }
  VERIFY_NOT_REACHED();
}

std::string_view ErrorNameOf(const absl::Status& status) {
  const std::optional<entry_error> error = ErrorOf<entry_error>(status);
  if (error.has_value()) {
    return ToString(*error);
  }
  return ErrorOf<configuration_error>(status).has_value() ? "invalid_text" : "unreadable_file";
}

void PrintFailure(const absl::Status& status, output_form form, command_context& context) {
  const std::string message = MessageOf(status);
  context.err << message << "\n";
  if (form == output_form::kHuman) {
    return;
  }
  const std::vector<std::string> lines = absl::StrSplit(message, '\n');
  const nlohmann::json result = {{"error", ErrorNameOf(status)}, {"messages", lines}};
  context.out << result.dump() << "\n";
}

}  // namespace

namespace {

absl::Status Run(const command_line& line, command_context& context) {
  switch (line.command) {
    case command_name::kCheck:
      return RunCheck(line, context);
    case command_name::kExplain:
      return RunExplain(line, context);
    case command_name::kLosses:
      return RunLosses(line, context);
    case command_name::kFleet:
      return RunFleet(line, context);
    default:
      return RunWithEntries(line, context);
  }
}

}  // namespace

exit_code RunCommand(const command_line& line, command_context& context) {
  const absl::Status status = Run(line, context);
  if (status.ok()) {
    return exit_code::kDone;
  }
  PrintFailure(status, line.form, context);
  return exit_code::kFailed;
}

}  // namespace wagtail
