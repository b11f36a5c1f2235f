#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "jobs/job.h"
#include "jobs/task.h"

/// @file
/// Finds out what became of a job whose owner can't be reached, without starting anything. Any
/// entry may do so, several at once, with the same result. Free of sockets, threads and clocks.

namespace wagtail {

/// The places where the job's owner may have handed over its tasks.
struct recovery_targets {
  std::vector<target_incarnation> present;  ///< still alive by the registry: each must be asked
  bool records_lost = false;  ///< an incarnation that could have been given tasks is gone
};

/// One recovery. Ask every target of `Unanswered()` to fence the job, until there is a verdict.
class recovery {
 public:
  /// @param digest of the body that the caller submits now
  /// @param task_count tasks in that body
  recovery(uint64_t digest, uint32_t task_count, const recovery_targets& places);

  /// The target's daemon has fenced the job and told what it started of it.
  void OnReport(const target_incarnation& target, const fence_report& report);
  /// The target's daemon can't be asked.
  void OnUnreachable(const target_incarnation& target);

  /// @return targets to ask, or to ask again because a task of the job still runs there
  std::vector<target_incarnation> TargetsToQuery() const;
  /// @return the final answer once it is certain; empty while a place has yet to answer
  std::optional<job_answer> FinalAnswer() const;
  /// @return the best true answer when the caller can't be kept waiting
  job_answer AnswerAtDeadline() const;
  /// @return whether the records show that the id was used for another body
  bool has_different_body() const { return different_body_; }

 private:
  enum class place_state { kUnasked, kAnswered, kUnreachable };

  bool HasRunning() const;
  job_answer Judge() const;
  std::optional<job_answer> Gather() const;

  uint64_t digest_;
  uint32_t task_count_;
  bool records_lost_;
  bool different_body_ = false;
  std::map<target_incarnation, place_state> places_;
  std::map<uint32_t, std::pair<target_incarnation, task_record>> started_;
};

}  // namespace wagtail
