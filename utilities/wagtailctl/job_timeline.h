#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

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

/// Collects the lines about a job from logs. Text before the JSON of a line is skipped; its last
/// word is taken as the name of the process.
class timeline_reader {
 public:
  explicit timeline_reader(std::string_view job) : job_(job) {}

  /// @param name of the file, used until a line names its process
  void Read(std::istream& log, const std::string& name);
  /// @return the timeline of the lines read so far
  job_timeline Timeline() const;

 private:
  struct log_line {
    std::string time;
    std::string process;
    std::string fact;
    std::string fields;
    std::string outcome;
    std::string reason;
    bool of_job = false;
  };
  void ReadLine(std::string_view text, std::string& process);
  static void SetConclusion(const std::vector<log_line>& lines, job_timeline& timeline);

  std::string job_;
  std::vector<log_line> lines_;
};

}  // namespace wagtail
