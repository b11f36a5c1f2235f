#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy_bench/model.h"

/// @file
/// Figures of a run as Markdown or JSON.

namespace wagtail {

struct bench_row {
  std::string scenario;
  std::string faults;
  double load = 0;
  std::string policy;
  uint64_t completed = 0;
  uint64_t failed = 0;
  uint64_t shed = 0;
  double mean = 0;             ///< of response / ideal
  double p99 = 0;              ///< of response / ideal
  double wasted_per_task = 0;  ///< wasted messages per completed task
  double work_share = 0;       ///< work done / work possible in the window; 0 without faults
};

/// @param result its ratios are put in order on the way
bench_row Summarise(model_result result);
std::string ToMarkdown(const std::vector<bench_row>& rows);
std::string ToJson(const std::vector<bench_row>& rows, uint64_t seed);

}  // namespace wagtail
