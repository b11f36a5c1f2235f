#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "http/http_message.h"
#include "plan/operating_plan.h"
#include "scheduler/scheduler_events.h"

namespace wagtail::leased {

/// A caller's request on its way through the filters.
struct front_request {
  const http_request* http = nullptr;
  duration waited{0};  ///< for the first plan after a start
  queue_plan queue{};
  std::string job{};  ///< empty if the request is about the queue itself
  size_t max_body_bytes = 0;
  job_submission submission{};
};

/// Looks at a request, fills in what later ones need, and answers or lets it pass.
using front_filter = std::function<std::optional<http_response>(front_request&)>;

/// What the filters ask of the entry.
struct front_hooks {
  std::function<bool()> stopping;
  /// The entry is behind with the work that it has; asked once for each new job.
  std::function<bool()> busy;
  /// Finds the queue of a request and the limit of bodies; nothing if there is no such queue.
  std::function<std::optional<queue_plan>(const std::string& host, const std::string& path,
                                          size_t& max_body_bytes)>
      queue;
  /// Waits a while for the first plan after a start, if there is none.
  /// @param deadline how long the caller waits
  /// @return how long that took, or nothing if there is still no plan
  std::function<std::optional<duration>(duration deadline)> await_plan;
  std::function<http_response(front_request&)> submit;
  std::function<http_response(front_request&)> cancel;
  std::function<http_response(front_request&)> state;
};

/// @return the filters in their order; the last one answers everything
std::vector<front_filter> MakeFrontFilters(const front_hooks& hooks);

/// Passes a request through the filters.
http_response RunFrontFilters(const std::vector<front_filter>& filters,
                              const http_request& request);

}  // namespace wagtail::leased
