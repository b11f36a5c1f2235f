#include "freshness/start_gate.h"

#include <algorithm>

namespace wagtail {

void start_gate::OnPolicy(instant asked_at, uint64_t version, bool admitted) {
  if (version > 0) {
    contact_ = contact_.has_value() ? std::max(*contact_, asked_at) : asked_at;
  }
  if (version > version_) {
    version_ = version;
    admitted_ = admitted;
  }
}

std::optional<start_refusal> start_gate::Check(instant now) const {
  if (!contact_.has_value() || now - *contact_ > settings_.contact_limit) {
    return start_refusal::kStale;
  }
  return admitted_ ? std::nullopt : std::optional(start_refusal::kLeaving);
}

}  // namespace wagtail
