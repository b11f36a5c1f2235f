#include "wagtail_load/job_record.h"

#include "base/verify.h"

namespace wagtail {

std::string_view ToText(job_outcome outcome) {
  switch (outcome) {
    case job_outcome::kComplete:
      return "complete";
    case job_outcome::kFailedNotRun:
      return "failed_not_run";
    case job_outcome::kFailedMayHaveRun:
      return "failed_may_have_run";
    case job_outcome::kBadAnswer:
      return "bad_answer";
    case job_outcome::kNoAnswer:
      return "no_answer";
    case job_outcome::kNotConnected:
      return "not_connected";
    case job_outcome::kNotSent:
      return "not_sent";
  }
  VERIFY_NOT_REACHED();
}

}  // namespace wagtail
