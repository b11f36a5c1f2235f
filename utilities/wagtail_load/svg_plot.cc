#include "wagtail_load/svg_plot.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "wagtail_load/load_scenario.h"

namespace wagtail {

namespace {

// All in pixels.
constexpr int kWidth = 960;
constexpr int kHeight = 600;
constexpr double kLeft = 70;
constexpr double kRight = 940;
constexpr double kLineHeight = 16;

struct panel {
  double top = 0;
  double bottom = 0;
};
constexpr panel kResponsePanel{.top = 50, .bottom = 330};
constexpr panel kWorkPanel{.top = 370, .bottom = 550};

constexpr std::string_view kMedianColour = "#1f77b4";
constexpr std::string_view kTailColour = "#ff7f0e";
constexpr std::string_view kMaximumColour = "#aaaaaa";
constexpr std::string_view kLeaveColour = "#d62728";
constexpr std::string_view kReturnColour = "#2ca02c";
constexpr std::string_view kAxisColour = "#333333";
constexpr std::string_view kGridColour = "#dddddd";

struct point {
  double x = 0;
  double y = 0;
};

std::string Escape(std::string_view text) {
  std::string out;
  for (char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string Line(point from, point to, std::string_view colour, std::string_view dashes = "none") {
  return absl::StrFormat(
      "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\" "
      "stroke-dasharray=\"%s\"/>\n",
      from.x, from.y, to.x, to.y, std::string(colour), std::string(dashes));
}

std::string Text(point at, std::string_view anchor, std::string_view text,
                 std::string_view colour = kAxisColour) {
  return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\" fill=\"%s\">%s</text>\n",
                         at.x, at.y, std::string(anchor), std::string(colour), Escape(text));
}

std::string Polyline(const std::vector<point>& points, std::string_view colour,
                     std::string_view dashes = "none") {
  std::string coordinates;
  for (const point& p : points) {
    absl::StrAppendFormat(&coordinates, "%.1f,%.1f ", p.x, p.y);
  }
  return absl::StrFormat(
      "<polyline fill=\"none\" stroke=\"%s\" stroke-dasharray=\"%s\" points=\"%s\"/>\n",
      std::string(colour), std::string(dashes), coordinates);
}

/// Maps figures of a run to places in the drawing.
class run_scale {
 public:
  explicit run_scale(const run_report& report)
      : seconds_(std::max<double>(1, static_cast<double>(report.seconds.size()))) {
    double least = HUGE_VAL;
    double most = 0;
    for (const second_figures& figures : report.seconds) {
      work_ = std::max({work_, figures.arrived_work_s, figures.completed_work_s});
      if (figures.response_ms.count > 0) {
        least = std::min(least, figures.response_ms.p50);
        most = std::max(most, figures.response_ms.max);
      }
    }
    least_decade_ = most > 0 ? std::floor(std::log10(std::max(least, 0.01))) : 0;
    most_decade_ = std::max(least_decade_ + 1, std::ceil(std::log10(std::max(most, 0.01))));
  }

  double X(double second) const { return kLeft + (kRight - kLeft) * second / seconds_; }

  double Response(double milliseconds) const {
    double decade = std::log10(std::max(milliseconds, 0.01));
    double share = std::clamp((decade - least_decade_) / (most_decade_ - least_decade_), 0.0, 1.0);
    return kResponsePanel.bottom - share * (kResponsePanel.bottom - kResponsePanel.top);
  }

  double Work(double work) const {
    return kWorkPanel.bottom - work / work_ * (kWorkPanel.bottom - kWorkPanel.top);
  }

  double seconds() const { return seconds_; }
  double most_work() const { return work_; }
  int least_decade() const { return static_cast<int>(least_decade_); }
  int most_decade() const { return static_cast<int>(most_decade_); }

 private:
  double seconds_;
  double work_ = 0.001;
  double least_decade_ = 0;
  double most_decade_ = 1;
};

std::string Axes(const run_scale& scale) {
  std::string out;
  for (int decade = scale.least_decade(); decade <= scale.most_decade(); ++decade) {
    double value = std::pow(10, decade);
    double y = scale.Response(value);
    absl::StrAppend(&out, Line({kLeft, y}, {kRight, y}, kGridColour),
                    Text({kLeft - 6, y + 4}, "end", absl::StrFormat("%g ms", value)));
  }
  for (double share : {0.0, 0.5, 1.0}) {
    double work = share * scale.most_work();
    double y = scale.Work(work);
    absl::StrAppend(&out, Line({kLeft, y}, {kRight, y}, kGridColour),
                    Text({kLeft - 6, y + 4}, "end", absl::StrFormat("%.3g", work)));
  }
  constexpr int kTicks = 10;
  double step = std::max(1.0, std::ceil(scale.seconds() / kTicks));
  for (int tick = 0; tick * step <= scale.seconds(); ++tick) {
    double x = scale.X(tick * step);
    absl::StrAppend(
        &out, Line({x, kWorkPanel.bottom}, {x, kWorkPanel.bottom + 4}, kAxisColour),
        Text({x, kWorkPanel.bottom + 18}, "middle", absl::StrFormat("%g s", tick * step)));
  }
  return out;
}

std::vector<point> ResponsePoints(const run_report& report, const run_scale& scale,
                                  double distribution::*member) {
  std::vector<point> points;
  for (const second_figures& figures : report.seconds) {
    if (figures.response_ms.count > 0) {
      points.push_back(
          {scale.X(figures.second + 0.5), scale.Response(figures.response_ms.*member)});
    }
  }
  return points;
}

std::vector<point> WorkPoints(const run_report& report, const run_scale& scale,
                              double second_figures::*member) {
  std::vector<point> points(report.seconds.size());
  std::ranges::transform(report.seconds, points.begin(), [&](const second_figures& figures) {
    return point{scale.X(figures.second + 0.5), scale.Work(figures.*member)};
  });
  return points;
}

std::string Changes(const run_report& report, const run_scale& scale) {
  constexpr double kMillisecondsPerSecond = 1000;
  std::string out;
  double label_y = kResponsePanel.top + kLineHeight;
  for (const change_record& change : report.changes) {
    bool leaves = change.kind == ToText(operator_change::kLeaveDomain);
    std::string_view colour = leaves ? kLeaveColour : kReturnColour;
    double x = scale.X(change.planned_ms / kMillisecondsPerSecond);
    absl::StrAppend(
        &out, Line({x, kResponsePanel.top}, {x, kWorkPanel.bottom}, colour, "4 3"),
        Text({x + 4, label_y}, "start", (leaves ? "leave " : "return ") + change.subject, colour));
    label_y += kLineHeight;
  }
  return out;
}

std::string Legend() {
  constexpr double kY = 40;
  std::string out = Text({kLeft, kY}, "start", "response of complete jobs, by arrival:");
  absl::StrAppend(&out, Text({340, kY}, "start", "p50", kMedianColour),
                  Text({380, kY}, "start", "p99", kTailColour),
                  Text({420, kY}, "start", "max", kMaximumColour),
                  Text({kLeft, kWorkPanel.top - 8}, "start", "work, task seconds per second:"),
                  Text({300, kWorkPanel.top - 8}, "start", "completed", kMedianColour),
                  Text({380, kWorkPanel.top - 8}, "start", "offered (dashed)", kMaximumColour));
  return out;
}

}  // namespace

std::string PlotSvg(const run_report& report) {
  run_scale scale(report);
  std::string out = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
      "viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
      kWidth, kHeight, kWidth, kHeight);
  std::string title =
      absl::StrFormat("%s, seed %d, wagtail-load %s, %s", report.origin.scenario,
                      report.origin.seed, report.origin.version, report.origin.started_at);
  absl::StrAppend(&out, Text({kLeft, 20}, "start", title), Axes(scale), Legend());
  absl::StrAppend(
      &out, Polyline(ResponsePoints(report, scale, &distribution::max), kMaximumColour),
      Polyline(ResponsePoints(report, scale, &distribution::p99), kTailColour),
      Polyline(ResponsePoints(report, scale, &distribution::p50), kMedianColour),
      Polyline(WorkPoints(report, scale, &second_figures::arrived_work_s), kMaximumColour, "4 3"),
      Polyline(WorkPoints(report, scale, &second_figures::completed_work_s), kMedianColour),
      Changes(report, scale));
  return out + "</svg>\n";
}

}  // namespace wagtail
