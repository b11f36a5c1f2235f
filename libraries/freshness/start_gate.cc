#include "freshness/start_gate.h"

#include <utility>

namespace wagtail {

start_gate::start_gate(std::string target, std::string failure_domain,
                       const freshness_settings& settings)
    : target_(std::move(target)), failure_domain_(std::move(failure_domain)), settings_(settings) {}

void start_gate::OnConfiguration(const configuration& newest, uint64_t version) {
  if (version <= held_version_) {
    return;
  }
  held_version_ = version;
  admitted_ = newest.Admits(target_, failure_domain_);
}

answer_use start_gate::OnAnswer(instant asked_at, duration age, uint64_t version) {
  if (version > held_version_) {
    return answer_use::kRowsMissing;
  }
  evidence_.OnAnswer(asked_at, age, version);
  return answer_use::kTaken;
}

std::optional<start_refusal> start_gate::Check(instant now) const {
  if (held_version_ == 0 || !evidence_.IsFresh(now, settings_.limit)) {
    return start_refusal::kStale;
  }
  if (!admitted_) {
    return start_refusal::kLeaving;
  }
  return std::nullopt;
}

}  // namespace wagtail
