#include "utilities/wagtailctl/loss_report.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace wagtail {
namespace {

absl::Time TimeOf(const log_line& line) {
  absl::Time time;
  std::string error;
  return absl::ParseTime(absl::RFC3339_full, line.Text("time"), &time, &error)
             ? time
             : absl::InfinitePast();
}

/// @return the time to the objective that the detail of `tasks_ordered` ends with
absl::Duration ObjectiveOf(std::string_view detail) {
  constexpr std::string_view kLabel = "objective in ";
  size_t label = detail.rfind(kLabel);
  if (label == std::string_view::npos) {
    return absl::InfiniteDuration();
  }
  std::string_view number = detail.substr(label + kLabel.size());
  int64_t milliseconds = 0;
  auto parsed = std::from_chars(number.data(), number.data() + number.size(), milliseconds);
  return parsed.ec == std::errc() ? absl::Milliseconds(milliseconds) : absl::InfiniteDuration();
}

uint64_t Sum(const std::map<std::string, uint64_t>& counts) {
  return std::accumulate(counts.begin(), counts.end(), uint64_t{0},
                         [](uint64_t sum, const auto& item) { return sum + item.second; });
}

std::string CausesText(const std::map<std::string, uint64_t>& causes) {
  std::vector<std::pair<uint64_t, std::string>> sorted;
  sorted.reserve(causes.size());
  for (const auto& [cause, count] : causes) {
    sorted.emplace_back(count, cause);
  }
  std::ranges::sort(sorted, std::greater());
  std::string text;
  for (const auto& [count, cause] : sorted) {
    absl::StrAppend(&text, text.empty() ? "" : ", ", count, " ", cause);
  }
  return text;
}

}  // namespace

void loss_reader::Read(std::istream& log, const std::string& name) {
  ReadLogLines(log, name, [this](const log_line& line) { Take(line); });
}

void loss_reader::Take(const log_line& line) {
  std::string fact = line.Text("fact");
  if (fact == "tasks_ordered") {
    // A job that callers sent again keeps the objective of its first orders.
    jobs_.try_emplace(line.Text("job"),
                      job_times{.objective = TimeOf(line) + ObjectiveOf(line.Text("detail"))});
    return;
  }
  if (fact != "job_answered") {
    return;
  }
  answered_job answered{.time = TimeOf(line), .queue = line.Text("queue"), .cause = {}};
  std::string outcome = line.Text("outcome");
  auto times = jobs_.find(line.Text("job"));
  if (outcome != "completed") {
    answered.cause = absl::StrCat(outcome, " ", line.Text("reason"));
  } else if (times != jobs_.end() && answered.time > times->second.objective) {
    answered.cause = "late";
  }
  answered_.push_back(std::move(answered));
}

loss_table loss_reader::Table() const {
  loss_table table;
  if (answered_.empty()) {
    return table;
  }
  auto [first, last] = std::ranges::minmax(answered_, {}, &answered_job::time);
  auto count = static_cast<size_t>((last.time - first.time) / interval_) + 1;
  for (size_t index = 0; index < count; ++index) {
    table.intervals.push_back({.begin = first.time + interval_ * static_cast<int64_t>(index)});
  }
  for (const answered_job& job : answered_) {
    loss_interval& interval =
        table.intervals[static_cast<size_t>((job.time - first.time) / interval_)];
    if (job.cause.empty()) {
      ++interval.in_time;
      ++table.in_time;
      continue;
    }
    ++interval.lost[job.cause];
    ++table.by_queue[job.queue][job.cause];
    ++table.total[job.cause];
  }
  return table;
}

std::string LossText(const loss_table& table) {
  std::string text = absl::StrFormat("%-14s %8s %6s  %s\n", "from", "in time", "lost", "causes");
  for (const loss_interval& interval : table.intervals) {
    absl::StrAppend(
        &text, absl::StrFormat("%-14s %8d %6d  %s\n",
                               absl::FormatTime("%H:%M:%E3S", interval.begin, absl::UTCTimeZone()),
                               interval.in_time, Sum(interval.lost), CausesText(interval.lost)));
  }
  for (const auto& [queue, causes] : table.by_queue) {
    absl::StrAppend(&text, "queue ", queue, ": ", CausesText(causes), "\n");
  }
  absl::StrAppend(&text, table.in_time, " jobs in time, ", Sum(table.total), " not",
                  table.total.empty() ? "" : ": ", CausesText(table.total), "\n");
  return text;
}

std::string LossSvg(const loss_table& table) {
  constexpr int kBarWidth = 14;
  constexpr int kPlotHeight = 240;
  constexpr int kLegendLine = 16;
  constexpr std::array<std::string_view, 8> kColours = {"#c0392b", "#e67e22", "#8e44ad", "#2c3e50",
                                                        "#16a085", "#7f8c8d", "#d35400", "#2980b9"};
  uint64_t most = 1;
  for (const loss_interval& interval : table.intervals) {
    most = std::max(most, Sum(interval.lost));
  }
  int legend = kLegendLine * static_cast<int>(table.total.size() + 1);
  int width = std::max<int>(kBarWidth * static_cast<int>(table.intervals.size()), 320);
  std::string svg = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n",
      width, kPlotHeight + legend);
  size_t colour = 0;
  std::map<std::string, std::string_view> colours;
  for (const auto& [cause, count] : table.total) {
    colours[cause] = kColours[colour++ % kColours.size()];
  }
  for (size_t index = 0; index < table.intervals.size(); ++index) {
    double top = kPlotHeight;
    for (const auto& [cause, count] : table.intervals[index].lost) {
      double height = kPlotHeight * static_cast<double>(count) / static_cast<double>(most);
      top -= height;
      absl::StrAppend(&svg, absl::StrFormat("<rect x=\"%d\" y=\"%.1f\" width=\"%d\" "
                                            "height=\"%.1f\" fill=\"%s\"/>\n",
                                            kBarWidth * static_cast<int>(index), top, kBarWidth - 2,
                                            height, colours[cause]));
    }
  }
  int line = kPlotHeight + kLegendLine;
  for (const auto& [cause, fill] : colours) {
    absl::StrAppend(&svg, absl::StrFormat("<text x=\"4\" y=\"%d\" fill=\"%s\">%s: %d jobs</text>\n",
                                          line, fill, cause, table.total.at(cause)));
    line += kLegendLine;
  }
  absl::StrAppend(&svg, "</svg>\n");
  return svg;
}

}  // namespace wagtail
