#include "services/dispatchd/jobs_in_progress.h"

#include <utility>

namespace wagtail::leased {

jobs_in_progress::request::request(jobs_in_progress& jobs, std::string job)
    : jobs_(jobs), job_(std::move(job)) {
  std::lock_guard lock(jobs_.mutex_);
  jobs_.jobs_.insert(job_);
}

jobs_in_progress::request::~request() {
  std::lock_guard lock(jobs_.mutex_);
  jobs_.jobs_.erase(jobs_.jobs_.find(job_));
}

bool jobs_in_progress::Contains(std::string_view job) const {
  std::lock_guard lock(mutex_);
  return jobs_.contains(job);
}

}  // namespace wagtail::leased
