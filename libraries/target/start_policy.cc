#include "target/start_policy.h"

#include <algorithm>

namespace wagtail {

void start_policy::OnAnswer(const policy_answer& answer) {
  if (answer.version < version_) {
    return;  // evidence for an older version says nothing about the newest
  }
  if (answer.version > version_ || !answer.admitted) {
    admitted_ = answer.admitted;
  }
  version_ = answer.version;
  if (!answer.has_evidence) {
    return;
  }
  instant evidence = answer.asked_at - answer.evidence_age;
  evidence_ = has_evidence_ ? std::max(evidence_, evidence) : evidence;
  has_evidence_ = true;
}

refusal start_policy::Judge(instant now) const {
  if (!has_evidence_ || now - evidence_ > freshness_limit_) {
    return refusal::kStale;
  }
  return admitted_ ? refusal::kNone : refusal::kLeaving;
}

}  // namespace wagtail
