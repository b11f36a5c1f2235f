#include "policy_bench/report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

#include "absl/strings/str_format.h"

namespace wagtail {

bench_row Summarise(model_result result) {
  bench_row row;
  row.completed = result.ratios.size();
  row.failed = result.failed;
  row.shed = result.shed;
  if (result.ratios.empty()) {
    return row;
  }
  std::ranges::sort(result.ratios);
  const auto count = static_cast<double>(result.ratios.size());
  row.mean = std::accumulate(result.ratios.begin(), result.ratios.end(), 0.0) / count;
  row.p99 = result.ratios[static_cast<size_t>(0.99 * (count - 1))];
  row.wasted_per_task = static_cast<double>(result.wasted) / count;
  row.work_share = result.work_possible > 0 ? result.work_done / result.work_possible : 0;
  return row;
}

std::string ToMarkdown(const std::vector<bench_row>& rows) {
  std::string text =
      "| scenario | faults | load | policy | completed | failed | shed | mean | p99 | wasted/task "
      "| "
      "work share |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const bench_row& row : rows) {
    text +=
        absl::StrFormat("| %s | %s | %.2f | %s | %d | %d | %d | %.3f | %.2f | %.4f | %.3f |\n",
                        row.scenario, row.faults, row.load, row.policy, row.completed, row.failed,
                        row.shed, row.mean, row.p99, row.wasted_per_task, row.work_share);
  }
  return text;
}

std::string ToJson(const std::vector<bench_row>& rows, uint64_t seed) {
  nlohmann::json list = nlohmann::json::array();
  for (const bench_row& row : rows) {
    list.push_back({{"scenario", row.scenario},
                    {"faults", row.faults},
                    {"load", row.load},
                    {"policy", row.policy},
                    {"completed", row.completed},
                    {"failed", row.failed},
                    {"shed", row.shed},
                    {"mean_response_over_ideal", row.mean},
                    {"p99_response_over_ideal", row.p99},
                    {"wasted_per_completed", row.wasted_per_task},
                    {"work_share", row.work_share}});
  }
  return nlohmann::json{{"seed", seed}, {"rows", list}}.dump(2) + "\n";
}

}  // namespace wagtail
