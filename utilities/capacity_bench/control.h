#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/time.h"

namespace wagtail {

struct control_options {
  uint32_t targets = 10;
  uint32_t domains = 3;  ///< failure domains that the targets are spread over
  uint32_t entries = 1;  ///< that are expected to link to each target
  std::string service = "bench";
  std::string cluster_key;
  std::string table_url;
  std::vector<int> watched_pids;  ///< of the entries
  duration link_limit = std::chrono::seconds(60);
  duration settle = std::chrono::seconds(3);  ///< after the last link stands
  duration measured = std::chrono::seconds(8);
};

/// What one watched process used.
struct process_usage {
  int pid = 0;
  double cpu_fraction = 0;  ///< of one core, over the measured time
  uint64_t resident_kib = 0;
};

struct control_result {
  uint32_t targets = 0;
  uint32_t entries = 0;
  double daemon_cpu_fraction = 0;     ///< of one core, per daemon
  double daemon_kib = 0;              ///< resident in this process, per daemon with its links
  double payload_bytes_per_link = 0;  ///< per second, both directions
  double wire_bytes_per_link = 0;     ///< per second, with headers of IP and TCP
  uint64_t links = 0;
  std::vector<process_usage> entry_usage;
};

/// Runs real targets' daemons in this process, linked to entries in other processes, without any
/// tasks.
/// @return the usage, or why the links did not stand in time
absl::StatusOr<control_result> MeasureControl(const control_options& options);

}  // namespace wagtail
