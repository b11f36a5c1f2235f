#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/time/time.h"
#include "utilities/wagtailctl/log_line.h"

/// @file
/// Tells from the logs of entries which jobs were not served in time, when and why.

namespace wagtail {

/// Jobs that were answered within one interval of time.
struct loss_interval {
  absl::Time begin;
  uint64_t in_time = 0;
  /// Jobs that were not served in time, by cause: `late`, or outcome and reason of the answer.
  std::map<std::string, uint64_t> lost{};
};

struct loss_table {
  std::vector<loss_interval> intervals{};  ///< in order of time, without gaps
  /// Lost jobs by queue and cause.
  std::map<std::string, std::map<std::string, uint64_t>> by_queue{};
  std::map<std::string, uint64_t> total{};  ///< lost jobs by cause
  uint64_t in_time = 0;
};

/// Collects the answers of entries. The objective of a job is taken from the line that tells of its
/// orders; a job that never had any can't be late.
class loss_reader {
 public:
  explicit loss_reader(absl::Duration interval) : interval_(interval) {}

  /// @param name of the source, used until a line names its process
  void Read(std::istream& log, const std::string& name);
  loss_table Table() const;

 private:
  struct job_times {
    absl::Time objective = absl::InfiniteFuture();
  };
  struct answered_job {
    absl::Time time;
    std::string queue;
    std::string cause;  ///< empty if the job was served in time
  };
  void Take(const log_line& line);

  absl::Duration interval_;
  std::unordered_map<std::string, job_times> jobs_;
  std::vector<answered_job> answered_;
};

/// @return the table as text: a row for each interval, then the causes by queue
std::string LossText(const loss_table& table);
/// @return the table as an SVG document: a bar for each interval, stacked by cause
std::string LossSvg(const loss_table& table);

}  // namespace wagtail
