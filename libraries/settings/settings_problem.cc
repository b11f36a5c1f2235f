#include "settings/settings_problem.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <span>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"

namespace wagtail {

namespace {

constexpr int kNoIndent = -1;

bool ContinuesCharacter(char byte) { return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U; }

}  // namespace

std::string Shown(std::string_view text) {
  size_t length = std::min(text.size(), kMaxShownBytes);
  while (length > 0 && length < text.size() && ContinuesCharacter(text[length])) {
    --length;
  }
  const nlohmann::json kept(std::string(text.substr(0, length)));
  std::string escaped = kept.dump(kNoIndent, ' ', false, nlohmann::json::error_handler_t::replace);
  std::string inner = escaped.substr(1, escaped.size() - 2);
  return length < text.size() ? inner + "..." : inner;
}

std::string ChildPath(std::string_view path, std::string_view key) {
  std::string shown = Shown(key);
  return absl::StrCat(std::string(path), "/",
                      absl::StrReplaceAll(shown, {{"~", "~0"}, {"/", "~1"}}));
}

std::string ToString(const settings_problem& problem, std::string_view file_name) {
  std::string path = problem.path.empty() ? "/" : problem.path;
  std::string found = problem.value.empty() ? "missing" : problem.value + " is refused";
  return absl::StrCat(std::string(file_name), ": ", path, ": ", found,
                      "; allowed: ", problem.allowed);
}

std::string ToString(const settings_problems& problems, std::string_view file_name) {
  const size_t shown = std::min(problems.size(), kMaxShownProblems);
  std::string lines = absl::StrJoin(std::span(problems).first(shown), "\n",
                                    [&](std::string* out, const settings_problem& problem) {
                                      out->append(ToString(problem, file_name));
                                    });
  if (shown < problems.size()) {
    absl::StrAppend(&lines, "\n", std::string(file_name), ": ", problems.size() - shown,
                    " more problems");
  }
  return lines;
}

}  // namespace wagtail
