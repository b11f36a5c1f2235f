#include "plan/operating_plan.h"

#include <algorithm>

namespace wagtail {

const queue_plan* operating_plan::QueueFor(std::string_view queue_host,
                                           std::string_view path) const {
  const queue_plan* best = nullptr;
  for (const queue_plan& queue : queues) {
    bool matches = queue.host == queue_host && path.starts_with(queue.path_prefix);
    if (matches && (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

bool operating_plan::IsLeaving(std::string_view domain) const {
  return leaving_domains.contains(std::string(domain));
}

}  // namespace wagtail
