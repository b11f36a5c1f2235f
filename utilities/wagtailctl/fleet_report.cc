#include "utilities/wagtailctl/fleet_report.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "utilities/wagtailctl/log_line.h"

namespace wagtail {

void fleet_reader::Read(std::istream& log, const std::string& name) {
  ReadLogLines(log, name, [this](const log_line& line) {
    if (line.Text("fact") == "started" && line.fields.contains("vm")) {
      members_[line.Text("vm")] = {.program = line.Text("program"),
                                   .version = line.Text("version"),
                                   .commit = line.Text("commit"),
                                   .protocol = line.Text("protocol")};
    }
  });
}

std::string FleetText(const std::map<std::string, fleet_member>& members) {
  constexpr const char* kRow = "%-28s %-18s %-8s %-14s %s\n";
  std::string text = absl::StrFormat(kRow, "vm", "program", "version", "commit", "protocol");
  std::map<std::string, unsigned> builds;
  for (const auto& [vm, member] : members) {
    absl::StrAppend(&text, absl::StrFormat(kRow, vm, member.program, member.version, member.commit,
                                           member.protocol));
    ++builds[absl::StrCat(member.program, " ", member.version, " ",
                          member.commit.empty() ? "of no stated commit" : member.commit)];
  }
  for (const auto& [build, count] : builds) {
    absl::StrAppend(&text, count, " x ", build, "\n");
  }
  return text;
}

}  // namespace wagtail
