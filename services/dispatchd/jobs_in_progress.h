#pragma once

#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace wagtail::leased {

/// Jobs for which a request waits in this entry. A copy of one must not be answered that it does
/// not run. Thread-safe, and independent of the event loop, which may be overloaded.
class jobs_in_progress {
 public:
  /// Keeps a job in progress until its destruction.
  class request {
   public:
    /// @param jobs must outlive the request
    request(jobs_in_progress& jobs, std::string job);
    ~request();
    request(const request&) = delete;
    request& operator=(const request&) = delete;

   private:
    jobs_in_progress& jobs_;
    const std::string job_;
  };

  /// @return whether a request for this job waits
  bool Contains(std::string_view job) const;

 private:
  mutable std::mutex mutex_;
  std::multiset<std::string, std::less<>> jobs_;  ///< one for each request
};

}  // namespace wagtail::leased
