#include "metrics/text_exposition.h"

#include <array>
#include <charconv>
#include <cmath>

namespace wagtail {

namespace {

void AppendEscapedHelp(std::string& out, std::string_view text) {
  for (char c : text) {
    switch (c) {
      case '\\':
        out += "\\\\";
        break;
      case '\n':
        out += "\\n";
        break;
      default:
        out += c;
    }
  }
}

void AppendEscapedLabelValue(std::string& out, std::string_view text) {
  for (char c : text) {
    switch (c) {
      case '\\':
        out += "\\\\";
        break;
      case '\n':
        out += "\\n";
        break;
      case '"':
        out += "\\\"";
        break;
      default:
        out += c;
    }
  }
}

void AppendLabel(std::string& out, std::string_view name, std::string_view value) {
  out += out.back() == '{' ? "" : ",";
  out += name;
  out += "=\"";
  AppendEscapedLabelValue(out, value);
  out += '"';
}

void AppendSample(std::string& out, std::string_view name, std::string_view suffix,
                  const metric_labels& labels, std::string_view value) {
  out += name;
  out += suffix;
  if (!labels.empty()) {
    out += '{';
    for (const metric_label& label : labels) {
      AppendLabel(out, label.name, label.value);
    }
    out += '}';
  }
  out += ' ';
  out += value;
  out += '\n';
}

metric_labels WithBound(const metric_labels& labels, std::string_view bound) {
  metric_labels result = labels;
  result.push_back({.name = "le", .value = std::string(bound)});
  return result;
}

}  // namespace

std::string FormatMetricValue(double value) {
  if (std::isnan(value)) {
    return "NaN";
  }
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  constexpr size_t kLongestDouble = 32;
  std::array<char, kLongestDouble> buffer{};
  auto written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return {buffer.data(), written.ptr};
}

void WriteFamilyHeader(std::string& out, std::string_view name, std::string_view help,
                       std::string_view type) {
  out += "# HELP ";
  out += name;
  out += ' ';
  AppendEscapedHelp(out, help);
  out += "\n# TYPE ";
  out += name;
  out += ' ';
  out += type;
  out += '\n';
}

void WriteSeries(std::string& out, std::string_view name, const metric_labels& labels,
                 const counter& series) {
  AppendSample(out, name, "", labels, FormatMetricValue(series.value()));
}

void WriteSeries(std::string& out, std::string_view name, const metric_labels& labels,
                 const gauge& series) {
  AppendSample(out, name, "", labels, FormatMetricValue(series.value()));
}

void WriteSeries(std::string& out, std::string_view name, const metric_labels& labels,
                 const histogram& series) {
  histogram::reading reading = series.Read();
  auto count = reading.cumulative.begin();
  for (double bound : series.bounds()) {
    AppendSample(out, name, "_bucket", WithBound(labels, FormatMetricValue(bound)),
                 std::to_string(*count));
    ++count;
  }
  AppendSample(out, name, "_bucket", WithBound(labels, "+Inf"), std::to_string(reading.count));
  AppendSample(out, name, "_sum", labels, FormatMetricValue(reading.sum));
  AppendSample(out, name, "_count", labels, std::to_string(reading.count));
}

}  // namespace wagtail
