#include "wagtail_load/job_record.h"

#include "base/verify.h"

namespace wagtail {

std::string_view ToText(submission_outcome outcome) {
  switch (outcome) {
    case submission_outcome::kComplete:
      return "complete";
    case submission_outcome::kFailedNotRun:
      return "failed_not_run";
    case submission_outcome::kFailedMayHaveRun:
      return "failed_may_have_run";
    case submission_outcome::kBadAnswer:
      return "bad_answer";
    case submission_outcome::kNoAnswer:
      return "no_answer";
    case submission_outcome::kNotConnected:
      return "not_connected";
    case submission_outcome::kNotSent:
      return "not_sent";
  }
  VERIFY_NOT_REACHED();
}

}  // namespace wagtail
