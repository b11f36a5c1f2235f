#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// What the logs of entries and agents tell of one job.

namespace wagtail {

/// One line of a log that belongs to the story.
struct timeline_event {
  std::string time;     ///< as logged, UTC
  double after_ms = 0;  ///< since the first line about the job
  std::string process;  ///< name of the VM, or where the line was read
  std::string fact;
  std::string fields;  ///< NAME=VALUE, parted by spaces
  bool of_job = true;  ///< false: a belief of a process that took part, told meanwhile
};

struct job_timeline {
  std::vector<timeline_event> lines;  ///< in order of time
  std::string conclusion;             ///< what became of the job, in a sentence
  std::string cause;                  ///< why; empty if nothing went wrong
  std::string remedy;                 ///< what to do; empty if nothing
};

/// Collects the lines about a job from logs. Text before the JSON of a line is skipped; its last
/// word then names the process.
class timeline_reader {
 public:
  explicit timeline_reader(std::string_view job) : job_(job) {}

  /// @param name of the file, for lines of a process that has not said its name
  void Read(std::istream& log, const std::string& name);
  /// @return the story of what was read so far
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
  static void Conclude(const std::vector<log_line>& lines, job_timeline& timeline);

  std::string job_;
  std::vector<log_line> lines_;
};

}  // namespace wagtail
