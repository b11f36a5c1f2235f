#include "freshness/freshness_evidence.h"

#include <algorithm>

#include "base/verify.h"

namespace wagtail {

void freshness_evidence::OnDirectRead(instant read_started, uint64_t version) {
  own_read_ = own_read_ ? std::max(*own_read_, read_started) : read_started;
  Advance(read_started, version);
}

void freshness_evidence::OnAnswer(instant asked_at, duration age, uint64_t version) {
  // A negative age would date the evidence after the question. No peer of ours sends one, but a
  // message is input.
  Advance(asked_at - std::max(age, duration::zero()), version);
}

void freshness_evidence::OnMajority(instant poll_begun, uint64_t version) {
  Advance(poll_begun, version);
}

std::optional<duration> freshness_evidence::Age(instant now) const {
  if (!evidence_) {
    return std::nullopt;
  }
  VERIFY(*evidence_ <= now);
  return now - *evidence_;
}

std::optional<duration> freshness_evidence::OwnReadAge(instant now) const {
  if (!own_read_) {
    return std::nullopt;
  }
  VERIFY(*own_read_ <= now);
  return now - *own_read_;
}

bool freshness_evidence::IsFresh(instant now, duration limit) const {
  return evidence_ && now - *evidence_ <= limit;
}

void freshness_evidence::Advance(instant evidence, uint64_t version) {
  evidence_ = evidence_ ? std::max(*evidence_, evidence) : evidence;
  version_ = std::max(version_, version);
}

}  // namespace wagtail
