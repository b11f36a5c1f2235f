#pragma once

#include <string>
#include <string_view>

#include "metrics/counter.h"
#include "metrics/gauge.h"
#include "metrics/histogram.h"
#include "metrics/metric_labels.h"

/// @file
/// The Prometheus text exposition format, version 0.0.4.

namespace wagtail {

/// Value of the content-type header of an exposition.
inline constexpr std::string_view kMetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

/// Appends the HELP and TYPE lines of a family.
/// @param type counter, gauge or histogram
void WriteFamilyHeader(std::string& out, std::string_view name, std::string_view help,
                       std::string_view type);

/// Appends the sample lines of one series.
/// @param labels sorted by name
void WriteSeries(std::string& out, std::string_view name, const metric_labels& labels,
                 const counter& series);
void WriteSeries(std::string& out, std::string_view name, const metric_labels& labels,
                 const gauge& series);
void WriteSeries(std::string& out, std::string_view name, const metric_labels& labels,
                 const histogram& series);

/// @return the shortest text that reads back as `value`; +Inf, -Inf and NaN where needed
std::string FormatMetricValue(double value);

}  // namespace wagtail
