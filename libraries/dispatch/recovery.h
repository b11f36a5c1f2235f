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
/// Determines the outcome of a job whose owner can't be reached, without starting any task. Several
/// entries may recover the same job concurrently and get the same result. Uses no sockets, threads
/// or clocks.

namespace wagtail {

/// Targets to which the job's owner may have handed its tasks.
struct recovery_targets {
  std::vector<target_incarnation> present;  ///< alive according to the registry; each is queried
  bool records_lost = false;                ///< an incarnation that may have received tasks is gone
};

/// State of one recovery. The caller has every target of `TargetsToQuery()` fence the job until
/// `FinalAnswer()` returns a value.
class recovery {
 public:
  /// @param digest digest of the body that the caller submits now
  /// @param task_count number of tasks in that body
  recovery(uint64_t digest, uint32_t task_count, const recovery_targets& targets);

  /// Records that the target's daemon fenced the job, and which of its tasks it had started.
  void OnReport(const target_incarnation& target, const fence_report& report);
  /// Records that the target's daemon can't be queried.
  void OnUnreachable(const target_incarnation& target);

  /// @return targets to query, or to query again because a task of the job still runs there
  std::vector<target_incarnation> TargetsToQuery() const;
  /// @return the final answer once it is certain; empty while an answer is outstanding
  std::optional<job_answer> FinalAnswer() const;
  /// @return the most specific answer that the reports prove so far, for a caller at its deadline
  job_answer AnswerAtDeadline() const;
  /// @return whether the records show that the id was used for another body
  bool has_different_body() const { return different_body_; }

 private:
  enum class query_state { kPending, kAnswered, kUnreachable };

  bool HasRunning() const;
  job_answer MakeAnswer() const;
  std::optional<job_answer> CompleteAnswer() const;

  uint64_t digest_;
  uint32_t task_count_;
  bool records_lost_;
  bool different_body_ = false;
  std::map<target_incarnation, query_state> queries_;
  std::map<uint32_t, std::pair<target_incarnation, task_record>> started_;
};

}  // namespace wagtail
