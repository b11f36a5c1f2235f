#include "jobs/job.h"

namespace wagtail {

std::string_view ToString(job_outcome outcome) {
  switch (outcome) {
    case job_outcome::kComplete:
      return "complete";
    case job_outcome::kFailedNotRun:
      return "failed_not_run";
    case job_outcome::kFailedMayHaveRun:
      return "failed_may_have_run";
  }
  return "unknown";
}

}  // namespace wagtail
