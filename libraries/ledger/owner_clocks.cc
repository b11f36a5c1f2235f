#include "ledger/owner_clocks.h"

namespace wagtail {

bool owner_clocks::Observe(entry_incarnation owner, uint64_t uptime_ms, instant now) {
  auto known = UptimeMs(owner, now);
  if (!known.has_value() && observations_.size() >= capacity_) {
    return false;
  }
  if (!known.has_value() || *known < uptime_ms) {
    observations_[owner.nonce] = {.uptime_ms = uptime_ms, .at = now};
  }
  return true;
}

std::optional<uint64_t> owner_clocks::UptimeMs(entry_incarnation owner, instant now) const {
  auto found = observations_.find(owner.nonce);
  if (found == observations_.end()) {
    return std::nullopt;
  }
  const observation& last = found->second;
  return last.uptime_ms + static_cast<uint64_t>(ToMilliseconds(now - last.at));
}

}  // namespace wagtail
