#include "utilities/wagtailctl/log_line.h"

#include <string_view>
#include <utility>

namespace wagtail {

std::string log_line::Text(const std::string& name) const {
  auto found = fields.find(name);
  if (found == fields.end()) {
    return "";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

double log_line::Number(const std::string& name) const {
  auto found = fields.find(name);
  return found != fields.end() && found->is_number() ? found->get<double>() : 0;
}

void ReadLogLines(std::istream& log, const std::string& name,
                  const std::function<void(const log_line&)>& take) {
  std::string process = name;
  for (std::string text; std::getline(log, text);) {
    size_t json_start = text.find('{');
    if (json_start == std::string::npos) {
      continue;
    }
    nlohmann::json fields =
        nlohmann::json::parse(std::string_view(text).substr(json_start), nullptr, false);
    if (!fields.is_object() || !fields.contains("fact") || !fields.contains("time")) {
      continue;
    }
    log_line line{.process = process, .fields = std::move(fields)};
    if (line.fields.contains("vm")) {
      process = line.Text("vm");
      line.process = process;
    }
    std::string_view prefix(text.data(), json_start);
    prefix = prefix.substr(0, prefix.find_last_not_of(" :|\t") + 1);
    if (!prefix.empty()) {
      line.process = prefix.substr(prefix.find_last_of(" \t") + 1);
    }
    take(line);
  }
}

}  // namespace wagtail
