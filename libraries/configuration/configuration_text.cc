#include "configuration/configuration_text.h"

#include <algorithm>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "configuration/configuration_limits.h"
#include "configuration/dependency_check.h"
#include "settings/settings_text.h"

namespace wagtail {

namespace {

bool IsNameCharacter(char character) {
  return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' ||
         character == '_' || character == '.';
}

bool IsLowerHexDigit(char character) {
  return absl::ascii_isdigit(static_cast<unsigned char>(character)) ||
         (character >= 'a' && character <= 'f');
}

const text_rule& TokenDigestRule() {
  static const text_rule kRule = {
      .min_bytes = kTokenDigestDigits,
      .max_bytes = kTokenDigestDigits,
      .allowed = "a SHA-256 in lower-case hexadecimal",
      .accept = [](std::string_view text) { return std::ranges::all_of(text, IsLowerHexDigit); }};
  return kRule;
}

target_requirements ReadRequirements(object_reader& reader) {
  target_requirements requirements;
  requirements.cores = static_cast<uint32_t>(reader.Unsigned("cores", 0, kCoresRange));
  requirements.memory_mb = static_cast<uint32_t>(reader.Unsigned("memory_mb", 0, kMemoryMbRange));
  requirements.accelerator = reader.Text("accelerator", "", NameRule());
  return requirements;
}

/// Each time bounds the next; an equal pair is accepted. A refused value has been replaced by its
/// default, which proves nothing about the others.
void CheckTimes(const service_configuration& service, object_reader& reader) {
  if (!reader.IsClean()) {
    return;
  }
  if (service.expected_run > service.task_timeout) {
    reader.Refuse("expected_run_ms", absl::StrCat("at most task_timeout_ms, which is ",
                                                  ToMilliseconds(service.task_timeout)));
  }
  if (service.task_timeout > service.job_deadline) {
    reader.Refuse("task_timeout_ms", absl::StrCat("at most job_deadline_ms, which is ",
                                                  ToMilliseconds(service.job_deadline)));
  }
}

service_configuration ReadService(const std::string& name, object_reader& reader) {
  service_configuration service;
  service.name = name;
  service.depends_on = reader.Texts("depends_on", kMaxDependenciesPerService, NameRule());
  reader.Object("requires", [&](object_reader& requirements) {
    service.requires_of_target = ReadRequirements(requirements);
  });
  service.expected_run =
      reader.Milliseconds("expected_run_ms", service.expected_run, kExpectedRunRange);
  service.task_timeout =
      reader.Milliseconds("task_timeout_ms", service.task_timeout, kTaskTimeoutRange);
  service.job_deadline =
      reader.Milliseconds("job_deadline_ms", service.job_deadline, kJobDeadlineRange);
  CheckTimes(service, reader);
  return service;
}

team_configuration ReadTeam(const std::string& name, object_reader& reader) {
  team_configuration team;
  team.name = name;
  team.token_digest = reader.RequiredSecret("token_sha256", TokenDigestRule());
  team.starts_per_second =
      reader.Number("starts_per_second", team.starts_per_second, kStartsPerSecondRange);
  team.burst_tasks =
      static_cast<uint32_t>(reader.Unsigned("burst_tasks", team.burst_tasks, kBurstTasksRange));
  team.max_tasks_in_flight = static_cast<uint32_t>(
      reader.Unsigned("max_tasks_in_flight", team.max_tasks_in_flight, kTasksInFlightRange));
  team.services = reader.Texts("services", kMaxServices, NameRule());
  return team;
}

void ReadRoot(object_reader& root, configuration* out) {
  root.NamedObjects("services", kMaxServices, NameRule(),
                    [out](const std::string& name, object_reader& reader) {
                      out->services.emplace(name, ReadService(name, reader));
                    });
  root.NamedObjects("teams", kMaxTeams, NameRule(),
                    [out](const std::string& name, object_reader& reader) {
                      out->teams.emplace(name, ReadTeam(name, reader));
                    });
  root.NamedObjects(
      "operators", kMaxOperators, NameRule(),
      [out](const std::string& name, object_reader& reader) {
        const std::string digest = reader.RequiredSecret("token_sha256", TokenDigestRule());
        out->operators.emplace(name, operator_configuration{.name = name, .token_digest = digest});
      });
  for (std::string& domain : root.Texts("failure_domains", kMaxFailureDomains, NameRule())) {
    out->failure_domains.insert(std::move(domain));
  }
}

/// A text without these would accept no work, or no further change.
void CheckPresence(object_reader& root) {
  for (const std::string_view key : {"services", "operators", "failure_domains"}) {
    if (!root.Has(key)) {
      root.Refuse(key, "at least one entry");
    }
  }
}

void CheckNotEmpty(const configuration& checked, object_reader& root) {
  if (root.Has("operators") && checked.operators.empty()) {
    root.Refuse("operators", "at least one operator, so that the text can be changed again");
  }
  if (root.Has("failure_domains") && checked.failure_domains.empty()) {
    root.Refuse("failure_domains", "an array of at least one name");
  }
}

}  // namespace

const text_rule& NameRule() {
  static const text_rule kRule = {
      .min_bytes = 1,
      .max_bytes = kMaxNameBytes,
      .allowed = "a name of letters, digits, '-', '_' and '.'",
      .accept = [](std::string_view text) { return std::ranges::all_of(text, IsNameCharacter); }};
  return kRule;
}

bool IsName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::ranges::all_of(name, IsNameCharacter);
}

absl::StatusOr<configuration> ParseConfiguration(std::string_view text,
                                                 std::string_view file_name) {
  if (text.size() > kMaxConfigurationBytes) {
    return MakeError(configuration_error::kInvalidText,
                     absl::StrCat(std::string(file_name), ": /: ", text.size(),
                                  " bytes are refused; allowed: at most ", kMaxConfigurationBytes));
  }
  configuration parsed;
  const absl::Status status = ReadSettings(text, file_name, [&parsed](object_reader& root) {
    ReadRoot(root, &parsed);
    CheckPresence(root);
    CheckNotEmpty(parsed, root);
    CheckReferences(parsed, root);
  });
  if (!status.ok()) {
    return MakeError(configuration_error::kInvalidText, MessageOf(status));
  }
  return parsed;
}

}  // namespace wagtail
