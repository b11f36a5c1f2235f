#pragma once

#include <string>

#include "wagtail_load/run_report.h"

namespace wagtail {

/// Draws the run over time as an SVG document: response times on a logarithmic scale above,
/// completed and offered work below, changes of the operator as vertical lines.
std::string PlotSvg(const run_report& report);

}  // namespace wagtail
