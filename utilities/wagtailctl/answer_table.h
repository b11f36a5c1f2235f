#pragma once

#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace wagtail {

/// Rows of text under a heading, printed in aligned columns.
class text_table {
 public:
  explicit text_table(std::vector<std::string> heading);
  /// @param row one cell per column of the heading
  void AddRow(std::vector<std::string> row);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

/// Prints an answer of an entry in readable form: plain members as `name  value`, arrays of objects
/// as tables.
/// @param body JSON object
/// @param columns printed first, in this order; other members of the rows follow sorted by name
/// @return OK, or entry_error::kBadAnswer
absl::Status PrintAnswer(std::string_view body, std::span<const std::string_view> columns,
                         std::ostream& out);

}  // namespace wagtail
