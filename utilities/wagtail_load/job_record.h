#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace wagtail {

/// How one job ended, seen by its caller.
enum class submission_outcome {
  kComplete,
  kFailedNotRun,
  kFailedMayHaveRun,
  kBadAnswer,     ///< an answer that breaks the API, for instance a partial one
  kNoAnswer,      ///< connection lost or timed out after the request may have arrived
  kNotConnected,  ///< no entry could be reached
  kNotSent,       ///< the run was stopped before
};

/// Every outcome, in the order of reports.
inline constexpr submission_outcome kSubmissionOutcomes[] = {
    submission_outcome::kComplete,         submission_outcome::kFailedNotRun,
    submission_outcome::kFailedMayHaveRun, submission_outcome::kBadAnswer,
    submission_outcome::kNoAnswer,         submission_outcome::kNotConnected,
    submission_outcome::kNotSent};

/// @return the outcome in snake case
std::string_view ToText(submission_outcome outcome);

/// What happened to one planned job.
struct job_record {
  submission_outcome outcome = submission_outcome::kNotSent;
  duration sent{};              ///< since the start of the run
  duration finished{};          ///< since the start of the run
  std::string reason = {};      ///< the entry's, or the tool's own
  uint32_t resubmissions = 0;   ///< after no answer came
  bool answers_differ = false;  ///< a resubmission got another complete answer than the first
};

}  // namespace wagtail
