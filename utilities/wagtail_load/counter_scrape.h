#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wagtail_load/entry_client.h"
#include "wagtail_load/run_report.h"

/// @file
/// Reads counters from the /metrics pages of processes, to tell how much they grew during a run.

namespace wagtail {

/// Sums of the wanted counters on one page.
struct counter_page {
  std::string url;
  bool answered = false;
  std::map<std::string, double, std::less<>> sums = {};  ///< over all label values
};

/// @param text an exposition in the Prometheus text format
/// @return the sum of the samples called `name`, whatever their labels
double SumOfSamples(std::string_view text, std::string_view name);

/// Reads the wanted counters from every page.
/// @param urls http://IP:PORT of the processes
std::vector<counter_page> ScrapeCounters(std::span<const std::string> urls,
                                         std::span<const std::string> names, const call_hook& call);

/// @param before,after pages of the same URLs
/// @return how much each counter grew over all pages; a counter that fell was reset by a restart
/// and
///   counts from zero, and pages that did not answer both times are counted as missing
std::vector<counter_growth> GrowthBetween(std::span<const counter_page> before,
                                          std::span<const counter_page> after,
                                          std::span<const std::string> names);

}  // namespace wagtail
