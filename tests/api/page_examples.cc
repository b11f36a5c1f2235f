#include "tests/api/page_examples.h"

#include <algorithm>
#include <cctype>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/verify.h"

namespace wagtail {

namespace {

constexpr std::string_view kAnyValue = "...";

// Escapes line breaks inside JSON strings, which the page contains for readability.
std::string EscapeLineBreaksInStrings(std::string_view text) {
  std::string out;
  bool in_string = false;
  for (size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '\\') {
      out += text.substr(at++, 2);
    } else if (text[at] == '\n' && in_string) {
      out += "\\n";
    } else {
      in_string = in_string != (text[at] == '"');
      out += text[at];
    }
  }
  return out;
}

std::string ToLower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

void ReadHead(std::istream& block, page_example& example) {
  std::string line;
  while (std::getline(block, line) && !line.empty()) {
    size_t colon = line.find(": ");
    VERIFY(colon != std::string::npos);
    example.request.headers[ToLower(line.substr(0, colon))] = line.substr(colon + 2);
  }
  example.host = example.request.headers["host"];
  example.request.headers.erase("host");
}

void ReadRequest(const std::string& text, page_example& example) {
  std::istringstream block(text);
  std::string first;
  std::getline(block, first);
  size_t space = first.find(' ');
  VERIFY(space != std::string::npos);
  example.request.method = first.substr(0, space);
  example.request.path = first.substr(space + 1);
  ReadHead(block, example);
  std::string body(std::istreambuf_iterator<char>(block), {});
  example.request.body = EscapeLineBreaksInStrings(body);
}

void ReadAnswer(const std::string& text, page_example& example) {
  size_t end = text.find('\n');
  example.status = std::stoi(text.substr(0, end));
  std::string body = end == std::string::npos ? "" : text.substr(end + 1);
  if (!body.empty()) {
    example.body = nlohmann::json::parse(body);
  }
}

}  // namespace

std::vector<page_example> ReadExamples(std::string_view page) {
  std::vector<page_example> examples;
  std::istringstream lines{std::string(page)};
  std::string line;
  std::string block;
  std::string language;  // of the current block
  for (size_t number = 1; std::getline(lines, line); ++number) {
    if (!line.starts_with("```")) {
      block += language.empty() ? "" : line + "\n";
      continue;
    }
    if (language == "http") {
      ReadRequest(block, examples.back());
    } else if (language == "answer") {
      VERIFY(!examples.empty() && examples.back().status == 0);
      ReadAnswer(block, examples.back());
    }
    language = language.empty() ? line.substr(3) : "";
    block.clear();
    if (language == "http") {
      VERIFY(examples.empty() || examples.back().status != 0);
      examples.push_back({.line = number, .host = "", .request = {}, .body = {}});
    }
  }
  return examples;
}

std::string page_values::Fill(std::string text) const {
  for (const auto& [name, value] : values_) {
    for (size_t at = text.find(name); at != std::string::npos; at = text.find(name, at)) {
      text.replace(at, name.size(), value);
      at += value.size();
    }
  }
  return text;
}

std::string page_values::Difference(const nlohmann::json& expected, const nlohmann::json& actual) {
  if (expected.is_object() && actual.is_object()) {
    return DifferenceInObject(expected, actual);
  }
  if (expected.is_array() && actual.is_array()) {
    return DifferenceInArray(expected, actual);
  }
  if (expected.is_string()) {
    const auto& text = expected.get_ref<const std::string&>();
    bool is_new_name = text.starts_with('$') && !values_.contains(text);
    if (is_new_name && actual.is_string()) {
      Set(text, actual.get<std::string>());
      return "";
    }
    if (text == kAnyValue || nlohmann::json(Fill(text)) == actual) {
      return "";
    }
  }
  return expected == actual ? "" : expected.dump() + " expected, " + actual.dump() + " found";
}

std::string page_values::DifferenceInObject(const nlohmann::json& expected,
                                            const nlohmann::json& actual) {
  for (const auto& [name, value] : expected.items()) {
    auto found = actual.find(name);
    std::string difference =
        found == actual.end() ? std::string("missing") : Difference(value, *found);
    if (!difference.empty()) {
      return absl::StrCat(name, ": ", difference);
    }
  }
  return "";
}

std::string page_values::DifferenceInArray(const nlohmann::json& expected,
                                           const nlohmann::json& actual) {
  if (expected.size() != actual.size()) {
    return expected.dump() + " expected, " + actual.dump() + " found";
  }
  for (size_t index = 0; index < expected.size(); ++index) {
    std::string difference = Difference(expected[index], actual[index]);
    if (!difference.empty()) {
      return absl::StrCat(index, ": ", difference);
    }
  }
  return "";
}

}  // namespace wagtail
