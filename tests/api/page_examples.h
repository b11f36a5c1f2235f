#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_message.h"

/// @file
/// The examples of docs/API.md: fenced blocks `http` and `answer`, in pairs.

namespace wagtail {

struct page_example {
  size_t line = 0;   ///< of the request's code fence in the page
  std::string host;  ///< the process that receives the request
  http_request request;
  int status = 0;                      ///< expected
  std::optional<nlohmann::json> body;  ///< expected, may be partial; empty: any
};

/// @param page text of the page; a malformed block fails a VERIFY
std::vector<page_example> ReadExamples(std::string_view page);

/// Values of the variables `$NAME` in the page.
class page_values {
 public:
  void Set(const std::string& name, std::string value) { values_[name] = std::move(value); }
  /// @return `text` with every known variable replaced
  std::string Fill(std::string text) const;
  /// Compares an answer with the page. A string of three dots matches any value, an unknown `$NAME`
  /// is set to the value in the answer, and the answer may have additional members.
  /// @return a description of the first difference; empty if there is none
  std::string Difference(const nlohmann::json& expected, const nlohmann::json& actual);

 private:
  std::string DifferenceInObject(const nlohmann::json& expected, const nlohmann::json& actual);
  std::string DifferenceInArray(const nlohmann::json& expected, const nlohmann::json& actual);

  std::map<std::string, std::string> values_;
};

}  // namespace wagtail
