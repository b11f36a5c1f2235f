#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

/// @file
/// System-wide settings of the operators, distributed to every process: queues, services and the
/// failure domains taken out of use. Plans are values that are replaced as a whole.

namespace wagtail {

/// A queue: which requests it receives, and how their jobs are served.
struct queue_plan {
  std::string name{};
  std::string host{};         ///< value of the Host header
  std::string path_prefix{};  ///< the longest matching prefix selects the queue
  std::string service{};      ///< service whose targets run the tasks
  unsigned priority = 0;      ///< 0 is the highest
  unsigned max_attempts = 1;  ///< failed runs of a task after which its job has failed
  /// Objective of a job: `stretch` times the estimate of its longest chain of tasks, plus
  /// `allowance`.
  double stretch = 1;
  duration allowance{0};
  duration timeout{0};  ///< for requests that state no deadline of their own
  bool operator==(const queue_plan&) const = default;
};

struct service_plan {
  std::string name{};
  /// Whether targets refuse tasks that exceed their capacity; if not, they start every task sent.
  bool targets_guard_capacity = true;
  bool operator==(const service_plan&) const = default;
};

/// One revision of the operators' table. A higher revision replaces a lower one, never the reverse.
struct operating_plan {
  uint64_t revision = 0;  ///< of the table when the plan was read
  uint64_t version = 0;   ///< of the operators' configuration; 0 if none is known
  std::vector<queue_plan> queues{};
  std::vector<service_plan> services{};
  std::set<std::string> leaving_domains{};  ///< no task may be started there
  size_t max_body_bytes = 1 << 20;
  bool operator==(const operating_plan&) const = default;

  /// @return the queue of this host with the longest prefix of `path`, or null
  const queue_plan* QueueFor(std::string_view queue_host, std::string_view path) const;
  /// @return whether `domain` is leaving, so that no task may be started there
  bool IsLeaving(std::string_view domain) const;
};

}  // namespace wagtail
