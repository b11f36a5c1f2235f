#include "configuration/configuration_difference.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "settings/settings_problem.h"

namespace wagtail {

namespace {

using differences = std::vector<configuration_difference>;

struct field {
  std::string_view key;
  std::string value;
  std::string shown;
};

field Plain(std::string_view key, const std::string& value) {
  return {.key = key, .value = value, .shown = value};
}

field Token(const std::string& digest) {
  return {.key = "token_sha256", .value = digest, .shown = "(not shown)"};
}

std::string List(const std::vector<std::string>& names) {
  return absl::StrCat("[", absl::StrJoin(names, ", "), "]");
}

std::string Milliseconds(duration span) {
  return absl::StrCat(static_cast<double>(span.count()) / 1000);
}

std::vector<field> FieldsOf(const service_configuration& service) {
  const target_requirements& needed = service.requires_of_target;
  return {Plain("depends_on", List(service.depends_on)),
          Plain("requires/cores", absl::StrCat(needed.cores)),
          Plain("requires/memory_mb", absl::StrCat(needed.memory_mb)),
          Plain("requires/accelerator", absl::StrCat("\"", needed.accelerator, "\"")),
          Plain("expected_run_ms", Milliseconds(service.expected_run)),
          Plain("task_timeout_ms", Milliseconds(service.task_timeout)),
          Plain("job_deadline_ms", Milliseconds(service.job_deadline))};
}

std::vector<field> FieldsOf(const team_configuration& team) {
  return {Token(team.token_digest),
          Plain("starts_per_second", absl::StrCat(team.starts_per_second)),
          Plain("burst_tasks", absl::StrCat(team.burst_tasks)),
          Plain("max_tasks_in_flight", absl::StrCat(team.max_tasks_in_flight)),
          Plain("services", List(team.services))};
}

std::vector<field> FieldsOf(const operator_configuration& holder) {
  return {Token(holder.token_digest)};
}

template <typename T>
void DiffFields(const T& a, const T& b, const std::string& path, differences* out) {
  const std::vector<field> before = FieldsOf(a);
  const std::vector<field> after = FieldsOf(b);
  for (size_t index = 0; index < before.size(); ++index) {
    if (before[index].value != after[index].value) {
      out->push_back({.kind = difference_kind::kChanged,
                      .path = absl::StrCat(path, "/", std::string(before[index].key)),
                      .before = before[index].shown,
                      .after = after[index].shown});
    }
  }
}

void AddEntry(difference_kind kind, std::string path, differences* out) {
  out->push_back({.kind = kind, .path = std::move(path), .before = {}, .after = {}});
}

template <typename M>
void DiffMaps(const M& a, const M& b, const std::string& path, differences* out) {
  for (const auto& [name, before] : a) {
    const auto after = b.find(name);
    if (after == b.end()) {
      AddEntry(difference_kind::kRemoved, ChildPath(path, name), out);
    } else {
      DiffFields(before, after->second, ChildPath(path, name), out);
    }
  }
  for (const auto& [name, after] : b) {
    if (!a.contains(name)) {
      AddEntry(difference_kind::kAdded, ChildPath(path, name), out);
    }
  }
}

using name_set = std::set<std::string, std::less<>>;

void DiffSets(const name_set& a, const name_set& b, const std::string& path, differences* out) {
  for (const std::string& name : a) {
    if (!b.contains(name)) {
      AddEntry(difference_kind::kRemoved, ChildPath(path, name), out);
    }
  }
  for (const std::string& name : b) {
    if (!a.contains(name)) {
      AddEntry(difference_kind::kAdded, ChildPath(path, name), out);
    }
  }
}

}  // namespace

std::string ToString(const configuration_difference& difference) {
  switch (difference.kind) {
    case difference_kind::kAdded:
      return "+ " + difference.path;
    case difference_kind::kRemoved:
      return "- " + difference.path;
    case difference_kind::kChanged:
      break;
  }
  return absl::StrCat("~ ", difference.path, ": ", difference.before, " -> ", difference.after);
}

differences DiffConfigurations(const configuration& a, const configuration& b) {
  differences found;
  DiffMaps(a.services, b.services, "/services", &found);
  DiffMaps(a.teams, b.teams, "/teams", &found);
  DiffMaps(a.operators, b.operators, "/operators", &found);
  DiffSets(a.failure_domains, b.failure_domains, "/failure_domains", &found);
  DiffSets(a.leaving_failure_domains, b.leaving_failure_domains, "/leaving_failure_domains",
           &found);
  DiffSets(a.leaving_targets, b.leaving_targets, "/leaving_targets", &found);
  return found;
}

}  // namespace wagtail
