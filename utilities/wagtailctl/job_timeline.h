#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "utilities/wagtailctl/log_line.h"

/// @file
/// Reconstructs the timeline of one job from the logs of entries and agents.

namespace wagtail {

/// One log line in a timeline.
struct timeline_event {
  std::string time;     ///< as logged, UTC
  double after_ms = 0;  ///< since the first line about the job
  std::string process;  ///< name of the VM, or the source of the line
  std::string fact;
  std::string fields;  ///< NAME=VALUE, separated by spaces
  bool of_job = true;  ///< false: a state change logged meanwhile by an involved process
};

struct job_timeline {
  std::vector<timeline_event> lines;  ///< in order of time
  std::string conclusion;             ///< outcome of the job, in a sentence
  std::string cause;                  ///< reason of a failure; empty if there was none
  std::string remedy;                 ///< advice to the operator; empty if there is none
};

/// Collects the lines about a job from logs.
class timeline_reader {
 public:
  explicit timeline_reader(std::string_view job) : job_(job) {}

  /// @param name of the file, used until a line names its process
  void Read(std::istream& log, const std::string& name);
  /// @return the timeline of the lines read so far
  job_timeline Timeline() const;

 private:
  struct read_line {
    std::string time;
    std::string process;
    std::string fact;
    std::string fields;
    std::string outcome;
    std::string reason;
    bool of_job = false;
  };
  void Take(const log_line& line);
  static void SetConclusion(const std::vector<read_line>& lines, job_timeline& timeline);

  std::string job_;
  std::vector<read_line> lines_;
};

}  // namespace wagtail
