#include "session/freed_capacity.h"

#include <algorithm>
#include <utility>

namespace wagtail::leased {

void freed_capacity::SetWaiting(session_id session, const waiting_priority& waiting) {
  auto found = waiting_.find(session);
  if (found != waiting_.end()) {
    found->second = waiting;
  }
}

void freed_capacity::Observe(int64_t free_cpu, instant now) {
  std::erase_if(freed_, [&](const freed_amount& item) { return now - item.at >= options_.hold; });
  int64_t before = std::exchange(free_cpu_, free_cpu);
  if (free_cpu > before && options_.hold > duration::zero()) {
    freed_.push_back({.at = now, .cpu = free_cpu - before});
  }
}

bool freed_capacity::GivesWay(session_id session) const {
  auto found = waiting_.find(session);
  return found != waiting_.end() && std::ranges::any_of(waiting_, [&](const auto& other) {
           return IsMoreUrgent(other.second, found->second);
         });
}

bool freed_capacity::IsMostUrgent(session_id session) const {
  auto found = waiting_.find(session);
  return found != waiting_.end() && found->second.highest.has_value() && !GivesWay(session);
}

int64_t freed_capacity::HeldFrom(session_id session) const {
  if (!GivesWay(session)) {
    return 0;
  }
  int64_t held = 0;
  for (const freed_amount& item : freed_) {
    held += item.cpu;
  }
  return std::clamp<int64_t>(held, 0, std::max<int64_t>(free_cpu_, 0));
}

bool freed_capacity::IsOfferDue(session_id session, instant last_report, instant now) const {
  return !freed_.empty() && freed_.back().at > last_report &&
         now - last_report >= options_.report_interval && IsMostUrgent(session);
}

}  // namespace wagtail::leased
