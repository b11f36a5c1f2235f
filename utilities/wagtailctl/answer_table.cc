#include "utilities/wagtailctl/answer_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "absl/strings/str_join.h"
#include "base/verify.h"
#include "utilities/wagtailctl/entry_client.h"

namespace wagtail {

namespace {

using nlohmann::json;

constexpr std::string_view kColumnGap = "  ";

std::string FormatCell(const json& value) {
  if (value.is_null()) {
    return "-";
  }
  if (value.is_string()) {
    const auto& text = value.get_ref<const std::string&>();
    return text.empty() ? "-" : text;
  }
  if (!value.is_array()) {
    return value.dump();
  }
  const std::string list = absl::StrJoin(
      value, ", ", [](std::string* out, const json& element) { out->append(FormatCell(element)); });
  return list.empty() ? "-" : list;
}

std::vector<std::string> OrderColumns(const json& rows, std::span<const std::string_view> first) {
  std::set<std::string> found;
  for (const json& row : rows) {
    for (const auto& [name, value] : row.items()) {
      found.insert(name);
    }
  }
  std::vector<std::string> columns;
  for (const std::string_view name : first) {
    if (found.erase(std::string(name)) > 0) {
      columns.emplace_back(name);
    }
  }
  columns.insert(columns.end(), found.begin(), found.end());
  return columns;
}

void PrintRows(const json& rows, std::span<const std::string_view> first, std::ostream& out) {
  const std::vector<std::string> columns = OrderColumns(rows, first);
  text_table table(columns);
  for (const json& row : rows) {
    std::vector<std::string> cells;
    std::ranges::transform(columns, std::back_inserter(cells), [&row](const std::string& name) {
      const auto found = row.find(name);
      return found == row.end() ? std::string("-") : FormatCell(*found);
    });
    table.AddRow(std::move(cells));
  }
  table.Print(out);
}

bool IsArrayOfObjects(const json& value) {
  return value.is_array() && !value.empty() &&
         std::ranges::all_of(value, [](const json& row) { return row.is_object(); });
}

/// Adds the members that are not arrays of objects; nested objects get dotted names.
void AddPlainMembers(const json& object, const std::string& prefix, text_table* table) {
  for (const auto& [name, value] : object.items()) {
    if (value.is_object()) {
      AddPlainMembers(value, prefix + name + ".", table);
    } else if (!IsArrayOfObjects(value)) {
      table->AddRow({prefix + name, FormatCell(value)});
    }
  }
}

}  // namespace

text_table::text_table(std::vector<std::string> heading) { rows_.push_back(std::move(heading)); }

void text_table::AddRow(std::vector<std::string> row) {
  VERIFY(row.size() == rows_.front().size());
  rows_.push_back(std::move(row));
}

void text_table::Print(std::ostream& out) const {
  std::vector<size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const auto& row : rows_) {
    std::string line;
    for (size_t column = 0; column < row.size(); ++column) {
      line += row[column] + std::string(widths[column] - row[column].size(), ' ');
      line += kColumnGap;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

absl::Status PrintAnswer(std::string_view body, std::span<const std::string_view> columns,
                         std::ostream& out) {
  constexpr bool kAllowExceptions = false;
  const json answer = json::parse(body, nullptr, kAllowExceptions);
  if (!answer.is_object()) {
    return MakeError(entry_error::kBadAnswer, "the answer is not a JSON object");
  }
  const bool only_rows = std::ranges::all_of(answer, [](const json& value) {
    return IsArrayOfObjects(value) || (value.is_array() && value.empty());
  });
  if (!only_rows) {
    text_table plain({"NAME", "VALUE"});
    AddPlainMembers(answer, "", &plain);
    plain.Print(out);
  }
  for (const auto& [name, value] : answer.items()) {
    if (IsArrayOfObjects(value)) {
      PrintRows(value, columns, out);
    } else if (only_rows) {
      out << "no " << name << "\n";
    }
  }
  return absl::OkStatus();
}

}  // namespace wagtail
