#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"
#include "dispatch/dispatcher.h"
#include "jobs/job.h"
#include "metrics/metrics_registry.h"

namespace wagtail {

/// Copy of the counts kept on the loop's thread, for one exposition.
struct entry_metrics_snapshot {
  dispatcher_counters counters;
  uint64_t jobs_in_progress = 0;
  uint64_t waiting_tasks = 0;
  uint64_t targets_linked = 0;
  uint64_t configuration_version = 0;
  double read_age_seconds = -1;  ///< age of the last table read; negative: never read
  bool in_force = false;
};

/// Metrics of an entry. Safe to use from any thread.
class entry_metrics {
 public:
  /// @param registry must outlive this object
  explicit entry_metrics(metrics_registry& registry);

  /// Records the final answer of a job and its response time.
  void OnAnswer(const job_answer& answer, duration response);
  /// Counts a refused request by its stable reason.
  void OnRefusal(std::string_view reason);
  /// Updates counters and gauges.
  void Update(const entry_metrics_snapshot& snapshot);

 private:
  void ExportTotal(std::string_view name, std::string_view help, uint64_t total);

  metrics_registry& registry_;
  family<counter>& answers_;
  family<counter>& refusals_;
  histogram& response_;
  histogram& response_over_run_time_;
  std::mutex mutex_;
  std::map<std::string, uint64_t, std::less<>> exported_;
};

}  // namespace wagtail
