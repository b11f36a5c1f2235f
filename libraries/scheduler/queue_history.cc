#include "scheduler/queue_history.h"

#include <algorithm>
#include <cmath>

namespace wagtail::leased {

void queue_history::OnArrived(const std::string& queue, double work) {
  auto [found, added] = queues_.try_emplace(queue, queue_means{.work = work});
  if (!added) {
    found->second.work += options_.job_weight * (work - found->second.work);
  }
}

double queue_history::Decayed(const admitted_work& admitted, instant now) const {
  double age = ToSeconds(now - admitted.at) / ToSeconds(options_.rate_window);
  return admitted.work * std::exp(-std::max(age, 0.0));
}

void queue_history::OnAdmitted(const std::string& service, double work, instant now) {
  admitted_work& admitted = services_[service];
  admitted = {.work = Decayed(admitted, now) + work, .at = now};
}

void queue_history::OnEnded(const std::string& queue, bool served) {
  auto found = queues_.find(queue);
  if (found != queues_.end()) {
    found->second.served += options_.job_weight * ((served ? 1 : 0) - found->second.served);
  }
}

queue_history::queue_means queue_history::MeansOf(const std::string& queue) const {
  auto found = queues_.find(queue);
  return found == queues_.end() ? queue_means{} : found->second;
}

double queue_history::RateOf(const std::string& service, instant now) const {
  auto found = services_.find(service);
  if (found == services_.end()) {
    return 0;
  }
  return Decayed(found->second, now) / static_cast<double>(options_.rate_window.count());
}

}  // namespace wagtail::leased
