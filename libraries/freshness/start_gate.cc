#include "freshness/start_gate.h"

#include <algorithm>

namespace wagtail {

void start_gate::OnPolicy(instant heartbeat_sent_at, uint64_t version, bool admitted) {
  if (version > 0) {
    last_contact_ =
        last_contact_.has_value() ? std::max(*last_contact_, heartbeat_sent_at) : heartbeat_sent_at;
  }
  if (version > version_) {
    version_ = version;
    admitted_ = admitted;
  }
}

std::optional<start_refusal> start_gate::Check(instant now) const {
  if (!last_contact_.has_value() || now - *last_contact_ > settings_.contact_timeout) {
    return start_refusal::kStale;
  }
  return admitted_ ? std::nullopt : std::optional(start_refusal::kLeaving);
}

}  // namespace wagtail
