#include "review/stand_ins_2/fault_soak/case_record.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "absl/strings/str_format.h"

namespace wagtail::review {

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

case_record::case_record(const std::filesystem::path& folder) : file_(folder / "record.txt") {
  Add(WithTrouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
}

void case_record::Add(std::string_view line) {
  std::lock_guard lock(mutex_);
  file_ << absl::StrFormat("%8.3f s  ", ToSeconds(MonotonicNow() - started_)) << line << '\n';
  file_.flush();
}

int case_record::Finish(case_result result, std::string_view why) {
  constexpr std::array<std::string_view, 3> kNames = {"HELD", "BROKEN", "COULD NOT RUN"};
  std::string line = std::string(kNames[static_cast<size_t>(result)]) + ": " + std::string(why);
  Add(line);
  std::puts(line.c_str());
  return static_cast<int>(result);
}

}  // namespace wagtail::review
