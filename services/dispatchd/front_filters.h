#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "http/http_message.h"
#include "plan/operating_plan.h"
#include "platform/job_json.h"
#include "scheduler/scheduler_events.h"

namespace wagtail::leased {

/// What the plan says about a request.
struct queue_match {
  uint64_t plan_version = 0;
  size_t max_body_bytes = 0;
  std::optional<queue_plan> queue{};  ///< nothing if no queue receives the request
};

/// A caller's request with the state that the filters add to it.
struct front_request {
  const http_request* http = nullptr;
  duration waited{0};         ///< time spent waiting for the first plan after a start
  uint64_t plan_version = 0;  ///< version that chose the queue
  queue_plan queue{};
  std::string job{};  ///< empty if the request is about the queue itself
  size_t max_body_bytes = 0;
  job_submission submission{};
};

/// Filter of the chain: adds state for later filters and either answers the request or returns
/// nothing to pass it on.
using front_filter = std::function<std::optional<http_response>(front_request&)>;

/// Callbacks from the filters to the entry.
struct front_hooks {
  std::function<bool()> stopping;
  /// Whether the entry is overloaded; called once for each new job.
  std::function<bool()> busy;
  /// Finds the queue of a request.
  std::function<queue_match(const std::string& host, const std::string& path)> queue;
  /// Waits for a limited time for the first plan after a start, if there is none.
  /// @param deadline how long the caller waits
  /// @return how long the wait took, or nothing if there is still no plan
  std::function<std::optional<duration>(duration deadline)> await_plan;
  /// Decodes the body of a job.
  std::function<absl::StatusOr<platform::job_body>(std::string_view body)> decode =
      platform::ReadJob;
  /// Whether an earlier request for this job is in progress. Must not wait for the event loop.
  std::function<bool(std::string_view job)> in_progress;
  std::function<http_response(front_request&)> submit;
  std::function<http_response(front_request&)> cancel;
  std::function<http_response(front_request&)> state;
};

/// @return the filters in order of execution; the last one answers every request
std::vector<front_filter> MakeFrontFilters(const front_hooks& hooks);

/// Runs a request through the filters until one of them answers.
http_response RunFrontFilters(const std::vector<front_filter>& filters,
                              const http_request& request);

}  // namespace wagtail::leased
