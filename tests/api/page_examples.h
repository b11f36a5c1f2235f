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
  size_t line = 0;   ///< of the request's fence in the page
  std::string host;  ///< the process that is asked
  http_request request;
  int status = 0;                      ///< expected
  std::optional<nlohmann::json> body;  ///< expected, as far as it is told; empty: any
};

/// @param page text of the page; fails by VERIFY on a block that can't be read
std::vector<page_example> ReadExamples(std::string_view page);

/// Values that stand for `$NAME` all over the page.
class page_values {
 public:
  void Set(const std::string& name, std::string value) { values_[name] = std::move(value); }
  /// @return `text` with every known `$NAME` replaced
  std::string Fill(std::string text) const;
  /// Compares an answer with the page. A text of three dots stands for any value, a `$NAME` not
  /// yet known takes the answer's value, members that the page leaves out may be there.
  /// @return what differs; empty if nothing does
  std::string Difference(const nlohmann::json& expected, const nlohmann::json& actual);

 private:
  std::string DifferenceInObject(const nlohmann::json& expected, const nlohmann::json& actual);
  std::string DifferenceInArray(const nlohmann::json& expected, const nlohmann::json& actual);

  std::map<std::string, std::string> values_;
};

}  // namespace wagtail
