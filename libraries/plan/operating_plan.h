#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

/// @file
/// What operators have set for the whole system, as every process knows it: queues, services and
/// the failure domains taken out of use. Plans are values that are replaced as a whole.

namespace wagtail {

/// Where jobs of one kind are handed in, and how they are to be served.
struct queue_plan {
  std::string name{};
  std::string host{};         ///< value of the Host header
  std::string path_prefix{};  ///< the longest matching prefix selects the queue
  std::string service{};      ///< whose targets run the tasks
  unsigned priority = 0;      ///< 0 comes first
  unsigned max_attempts = 1;  ///< failed runs of a task after which its job has failed
  /// Objective of a job: `stretch` times its longest chain of tasks, and `allowance` more.
  double stretch = 1;
  duration allowance{0};
  duration timeout{0};  ///< for requests that state no deadline of their own
  bool operator==(const queue_plan&) const = default;
};

struct service_plan {
  std::string name{};
  /// Targets refuse what exceeds their capacity; otherwise they start whatever they are told to.
  bool targets_guard_capacity = true;
  bool operator==(const service_plan&) const = default;
};

/// One state of the operators' table. Higher revisions replace lower ones, never the reverse.
struct operating_plan {
  uint64_t revision = 0;  ///< of the table when the plan was read
  uint64_t version = 0;   ///< of the operators' configuration; 0 while none is known
  std::vector<queue_plan> queues{};
  std::vector<service_plan> services{};
  std::set<std::string> leaving_domains{};  ///< nothing may be started there
  size_t max_body_bytes = 1 << 20;
  bool operator==(const operating_plan&) const = default;

  /// @return the queue of this host whose prefix is the longest that `path` begins with, or null
  const queue_plan* QueueFor(std::string_view queue_host, std::string_view path) const;
  /// @return whether nothing may be started in `domain`
  bool IsLeaving(std::string_view domain) const;
};

}  // namespace wagtail
