#pragma once

#include <cstdint>

#include "base/time.h"
#include "jobs/task.h"

namespace wagtail {

/// What one entry told about the configuration, dated by this daemon.
struct policy_answer {
  instant asked_at{};  ///< when the heartbeat was sent, not when the answer came
  uint64_t version = 0;
  bool has_evidence = false;
  duration evidence_age{};  ///< as told by the entry
  bool admitted = false;
};

/// Decides whether the configuration lets this target start a task now.
///
/// Evidence is dated by when it was asked for, so that an answer held up on its way can't look
/// fresh. The newest version seen decides; older ones are ignored.
class start_policy {
 public:
  /// @param freshness_limit oldest evidence on which a task may start
  explicit start_policy(duration freshness_limit) : freshness_limit_(freshness_limit) {}

  void OnAnswer(const policy_answer& answer);
  /// @return refusal::kNone, kStale or kLeaving
  refusal Judge(instant now) const;
  uint64_t version() const { return version_; }

 private:
  duration freshness_limit_;
  bool has_evidence_ = false;
  instant evidence_{};
  uint64_t version_ = 0;
  bool admitted_ = false;
};

}  // namespace wagtail
