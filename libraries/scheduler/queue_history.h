#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/time.h"

namespace wagtail::leased {

/// Recent demand of the queues of one entry, for decisions while targets are full: how large the
/// jobs of a queue are, which share of them is served, and how much work arrives.
class queue_history {
 public:
  struct options {
    /// Weight of a new job in the means of its queue.
    double job_weight = 0.1;
    /// Time over which the rate of arriving work is averaged.
    duration rate_window = std::chrono::milliseconds(1000);
  };
  struct queue_means {
    double work = 0;    ///< of a job, in thousandths of a core times microseconds
    double served = 1;  ///< share of the jobs that were not refused
  };

  explicit queue_history(options options) : options_(options) {}

  /// @param work of the job, in thousandths of a core times microseconds
  void OnArrived(const std::string& queue, double work);
  /// Counts a job that is expected to be served in time, for the rate of its service.
  void OnAdmitted(const std::string& service, double work, instant now);
  /// Counts the end of a job: served, or refused as not run.
  void OnEnded(const std::string& queue, bool served);

  queue_means MeansOf(const std::string& queue) const;
  /// @return work that arrives for the service and is admitted, in thousandths of a core
  double RateOf(const std::string& service, instant now) const;

 private:
  struct admitted_work {
    double work = 0;  ///< decayed to the time `at`
    instant at{};
  };
  double Decayed(const admitted_work& admitted, instant now) const;

  options options_;
  std::map<std::string, queue_means, std::less<>> queues_;
  std::map<std::string, admitted_work, std::less<>> services_;
};

}  // namespace wagtail::leased
