#include "utilities/wagtailctl/command_line.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <cctype>
#include <limits>
#include <string_view>

#include "base/version.h"
#include "configuration/configuration_text.h"

namespace wagtail {

namespace {

constexpr int64_t kMaxTimeoutSeconds = 3600;
constexpr int64_t kMaxIntervalMs = int64_t{3600} * 1000;
constexpr size_t kMaxJobIdBytes = 256;

struct raw_arguments {
  command_line line;
  std::string subject_kind;
  int64_t timeout_seconds = 0;
  uint64_t base_version = 0;
};

std::string CheckEntry(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme)) {
    return "must be http://IP:PORT";
  }
  const std::string_view authority = std::string_view(url).substr(kScheme.size());
  const size_t slash = authority.find_first_of("/?# ");
  const bool has_path = slash != std::string_view::npos && slash + 1 != authority.size();
  const bool has_port = authority.find(':') != std::string_view::npos;
  return has_path || !has_port ? "must be http://IP:PORT" : "";
}

std::string CheckName(const std::string& name) {
  return IsName(name) ? "" : "must be " + std::string(NameRule().allowed);
}

std::string CheckJob(const std::string& job) {
  const bool allowed = std::ranges::all_of(job, [](unsigned char character) {
    return std::isalnum(character) != 0 || character == '-' || character == '_';
  });
  return allowed && !job.empty() && job.size() <= kMaxJobIdBytes ? "" : "must be a job id";
}

/// CLI11 alone would accept -1 as the largest unsigned number.
std::string CheckVersion(const std::string& version) {
  const bool digits = std::ranges::all_of(
      version, [](unsigned char character) { return std::isdigit(character) != 0; });
  return digits ? "" : "must be a version, a whole number";
}

void AddGlobalOptions(CLI::App& app, raw_arguments& raw) {
  app.set_version_flag("--version", "wagtailctl " + std::string(kVersion));
  app.add_option("--entry", raw.line.entries,
                 "URL of an entry, http://IP:PORT; repeat it for fallback entries")
      ->allow_extra_args(false)
      ->check(CLI::Validator(CheckEntry, "URL"));
  app.add_option("--token-file", raw.line.token_file, "file with the operator's token")
      ->check(CLI::ExistingFile);
  app.add_flag_callback(
      "--json", [&raw] { raw.line.form = output_form::kJson; }, "print JSON instead of tables");
  app.add_option("--timeout", raw.timeout_seconds,
                 "seconds for the whole command (default 10, and 60 when it waits)")
      ->check(CLI::Range(int64_t{1}, kMaxTimeoutSeconds));
}

CLI::App* AddCommand(CLI::App& app, raw_arguments& raw, command_name command,
                     const std::string& name, const std::string& help) {
  CLI::App* added = app.add_subcommand(name, help);
  added->callback([&raw, command] { raw.line.command = command; });
  return added;
}

void AddChangeOptions(CLI::App* command, raw_arguments& raw) {
  command
      ->add_option("--base", raw.base_version,
                   "refuse unless this is the current version (default: the current version)")
      ->check(CLI::Validator(CheckVersion, "VERSION"));
  command
      ->add_option("--change-id", raw.line.change_id,
                   "id of the change; the same id again settles a change of unknown outcome")
      ->check(CLI::Validator(CheckName, "ID"));
  command->add_flag_callback(
      "--wait", [&raw] { raw.line.after = after_change::kWaitInForce; },
      "wait until the change is in force everywhere");
}

void AddFile(CLI::App* command, raw_arguments& raw) {
  command->add_option("FILE", raw.line.file, "the operators' text")
      ->required()
      ->check(CLI::ExistingFile);
}

void AddLogs(CLI::App* command, raw_arguments& raw) {
  command->add_option("LOG", raw.line.logs, "log files (default: standard input)")
      ->check(CLI::ExistingFile);
}

void AddSubject(CLI::App* command, raw_arguments& raw) {
  command->add_option("KIND", raw.subject_kind, "domain or target")
      ->required()
      ->check(CLI::IsMember({"domain", "target"}));
  command->add_option("NAME", raw.line.subject, "name of the failure domain or target")
      ->required()
      ->check(CLI::Validator(CheckName, "NAME"));
}

void AddChangeCommands(CLI::App& app, raw_arguments& raw) {
  CLI::App* apply =
      AddCommand(app, raw, command_name::kApply, "apply", "check FILE and put it into force");
  AddFile(apply, raw);
  AddChangeOptions(apply, raw);
  CLI::App* leave = AddCommand(app, raw, command_name::kLeave, "leave",
                               "take a failure domain or target out of work");
  AddSubject(leave, raw);
  AddChangeOptions(leave, raw);
  CLI::App* back = AddCommand(app, raw, command_name::kReturn, "return",
                              "bring a failure domain or target back to work");
  AddSubject(back, raw);
  AddChangeOptions(back, raw);
}

void AddOtherCommands(CLI::App& app, raw_arguments& raw) {
  AddFile(AddCommand(app, raw, command_name::kCheck, "check", "check FILE without a server"), raw);
  AddFile(AddCommand(app, raw, command_name::kDiff, "diff",
                     "compare FILE with the current configuration"),
          raw);
  AddCommand(app, raw, command_name::kWait, "wait", "wait until VERSION is in force everywhere")
      ->add_option("VERSION", raw.line.version, "version that apply, leave or return printed")
      ->required()
      ->check(CLI::Validator(CheckVersion, "VERSION"));
  AddCommand(app, raw, command_name::kStatus, "status", "show the state of the system");
  AddCommand(app, raw, command_name::kTargets, "targets", "list the targets");
  AddCommand(app, raw, command_name::kJobs, "jobs", "list the jobs of an entry");
  AddCommand(app, raw, command_name::kCancel, "cancel", "cancel a job")
      ->add_option("ID", raw.line.job, "id of the job")
      ->required()
      ->check(CLI::Validator(CheckJob, "ID"));
  CLI::App* explain = AddCommand(app, raw, command_name::kExplain, "explain",
                                 "show a job's timeline from log files, without a server");
  explain->add_option("ID", raw.line.job, "id of the job")
      ->required()
      ->check(CLI::Validator(CheckJob, "ID"));
  AddLogs(explain, raw);
  CLI::App* losses = AddCommand(app, raw, command_name::kLosses, "losses",
                                "list the jobs not served in time by cause, from entries' logs");
  AddLogs(losses, raw);
  losses->add_option("--interval-ms", raw.line.interval_ms, "time per row (default 1000)")
      ->check(CLI::Range(int64_t{1}, kMaxIntervalMs));
  losses->add_option("--svg", raw.line.svg_file, "also draw the table into this file");
  AddLogs(AddCommand(app, raw, command_name::kFleet, "fleet",
                     "list processes and their builds, from log files"),
          raw);
  AddCommand(app, raw, command_name::kAudit, "audit", "list the changes of configuration")
      ->add_option("--after", raw.line.version, "only changes that made later versions")
      ->check(CLI::Validator(CheckVersion, "VERSION"));
}

change_kind ChangeKindOf(const raw_arguments& raw) {
  const bool is_domain = raw.subject_kind == "domain";
  switch (raw.line.command) {
    case command_name::kLeave:
      return is_domain ? change_kind::kLeaveDomain : change_kind::kLeaveTarget;
    case command_name::kReturn:
      return is_domain ? change_kind::kReturnDomain : change_kind::kReturnTarget;
    default:
      return change_kind::kApplyText;
  }
}

bool NeedsEntry(command_name command) {
  constexpr std::array kOffline = {command_name::kCheck, command_name::kExplain,
                                   command_name::kLosses, command_name::kFleet};
  return std::ranges::find(kOffline, command) == kOffline.end();
}

bool HasOption(const CLI::App& app, const std::string& name) {
  return std::ranges::any_of(app.get_subcommands(), [&](const CLI::App* command) {
    const CLI::Option* option = command->get_option_no_throw(name);
    return option != nullptr && option->count() > 0;
  });
}

command_line BuildCommandLine(const CLI::App& app, raw_arguments raw) {
  command_line line = std::move(raw.line);
  raw.line.command = line.command;
  line.kind = ChangeKindOf(raw);
  if (raw.timeout_seconds > 0) {
    line.timeout = std::chrono::seconds(raw.timeout_seconds);
  }
  if (HasOption(app, "--base")) {
    line.base_version = raw.base_version;
  }
  for (std::string& url : line.entries) {
    url.erase(url.find_last_not_of('/') + 1);
  }
  return line;
}

}  // namespace

std::variant<command_line, exit_code> ParseCommandLine(std::vector<std::string> arguments,
                                                       std::ostream& out, std::ostream& err) {
  raw_arguments raw;
  CLI::App app("Operates wagtailplank: configuration, failure domains, targets and jobs.",
               "wagtailctl");
  app.require_subcommand(1);
  app.fallthrough();
  app.footer("Exit codes: 0 done, 1 refused or failed, 2 wrong usage.");
  AddGlobalOptions(app, raw);
  AddChangeCommands(app, raw);
  AddOtherCommands(app, raw);
  std::ranges::reverse(arguments);  // CLI11 reads the vector from the back.
  try {
    app.parse(std::move(arguments));
  } catch (const CLI::ParseError& error) {
    return app.exit(error, out, err) == 0 ? exit_code::kDone : exit_code::kUsage;
  }
  const command_line line = BuildCommandLine(app, raw);
  if (line.entries.empty() && NeedsEntry(line.command)) {
    err << "--entry is required for this command\nRun with --help for more information.\n";
    return exit_code::kUsage;
  }
  return line;
}

}  // namespace wagtail
