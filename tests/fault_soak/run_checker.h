#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "leases/task_ref.h"

namespace wagtail::leased {

/// What targets and callers saw, held against the promises. Safe to use from several threads.
class run_checker {
 public:
  struct counts {
    unsigned runs = 0;
    unsigned completed = 0;
    unsigned failed = 0;
    unsigned refused = 0;
    unsigned unanswered = 0;  ///< sendings without an answer
  };

  void Began(const task_ref& task, const std::string& target);
  void Over(const task_ref& task, const std::string& target);

  /// A caller was told that the job has ended well.
  void Completed(const std::string& job, uint32_t tasks);
  void Failed() { Count(&counts::failed); }
  void Unanswered() { Count(&counts::unanswered); }
  /// Every sending of the job was refused as not run.
  void NeverRan(const std::string& job);

  void Broken(const std::string& what);
  /// @return the time of day in the form that logs use
  static std::string Now();
  /// Checks what only the end shows.
  void CheckAtEnd();
  std::vector<std::string> broken() const;
  counts seen() const;
  /// @return runs that began at targets whose names begin so
  unsigned BegunAt(const std::string& prefix) const;

 private:
  void Add(const std::string& what);
  void Count(unsigned counts::*which);

  mutable std::mutex mutex_;
  counts counts_;
  std::map<task_ref, std::map<std::string, std::string>> running_;  ///< where, and since when
  std::map<std::string, unsigned> begun_at_;
  std::set<task_ref> begun_;
  std::set<std::string> begun_jobs_;
  std::set<std::string> never_ran_;
  std::vector<std::string> broken_;
};

}  // namespace wagtail::leased
