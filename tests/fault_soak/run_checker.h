#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "leases/task_ref.h"

namespace wagtail::leased {

/// Checks the events that targets and callers report against the guarantees. Thread-safe.
class run_checker {
 public:
  struct counts {
    unsigned runs = 0;
    unsigned completed = 0;
    unsigned failed = 0;
    unsigned refused = 0;
    unsigned unanswered = 0;  ///< requests without an answer
  };

  void OnRunStarted(const task_ref& task, const std::string& target);
  void OnRunEnded(const task_ref& task, const std::string& target);

  /// A caller received the answer that the job has completed.
  void OnJobCompleted(const std::string& job, uint32_t tasks);
  void OnJobFailed() { Count(&counts::failed); }
  void OnUnanswered() { Count(&counts::unanswered); }
  /// Every request for the job was refused as not run.
  void OnJobRefused(const std::string& job);

  void ReportViolation(const std::string& what);
  /// @return the current time in the format of the logs
  static std::string Now();
  /// Checks the guarantees that can be checked only at the end.
  void CheckAtEnd();
  std::vector<std::string> violations() const;
  counts totals() const;
  /// @return runs started at targets whose names have this prefix
  unsigned BegunAt(const std::string& prefix) const;

 private:
  void AddViolation(const std::string& what);
  void Count(unsigned counts::*which);

  mutable std::mutex mutex_;
  counts counts_;
  std::map<task_ref, std::map<std::string, std::string>> running_;  ///< target, start time
  std::map<std::string, unsigned> begun_at_;
  std::set<task_ref> begun_;
  std::set<std::string> begun_jobs_;
  std::set<std::string> refused_jobs_;
  std::vector<std::string> violations_;
};

}  // namespace wagtail::leased
