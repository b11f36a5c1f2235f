#include "session/demand_shares.h"

#include <algorithm>
#include <cmath>

namespace wagtail::leased {

void work_rate::Add(double work, instant now) {
  work_ = Decayed(now) + work;
  at_ = now;
}

double work_rate::Rate(instant now) const {
  return Decayed(now) / static_cast<double>(window_.count());
}

double work_rate::Decayed(instant now) const {
  return work_ * std::exp(-ToSeconds(now - at_) / ToSeconds(window_));
}

double demand_shares::demand::Rate(instant now) const {
  return kind == asked_work::kInPlaceOfOrders ? asked : orders.Rate(now) + asked;
}

void demand_shares::OnSessionOpened(session_id session) {
  sessions_.insert_or_assign(session, demand(options_.window));
}

void demand_shares::OnSessionClosed(session_id session) { sessions_.erase(session); }

void demand_shares::OnOrdered(session_id session, double work, instant now) {
  auto found = sessions_.find(session);
  if (found != sessions_.end()) {
    found->second.orders.Add(work, now);
  }
}

void demand_shares::SetAsked(session_id session, double rate, asked_work kind) {
  auto found = sessions_.find(session);
  if (found != sessions_.end()) {
    found->second.asked = rate;
    found->second.kind = kind;
  }
}

unsigned demand_shares::ShareOf(session_id session, instant now) const {
  constexpr double kPermille = 1000;
  auto found = sessions_.find(session);
  if (found == sessions_.end()) {
    return 0;
  }
  double all = 0;
  for (const auto& [id, other] : sessions_) {
    all += other.Rate(now);
  }
  double equal = 1 / static_cast<double>(sessions_.size());
  double by_demand = all > 0 ? found->second.Rate(now) / all : equal;
  double share = options_.equal_part * equal + (1 - options_.equal_part) * by_demand;
  return std::max(1U, static_cast<unsigned>(std::lround(share * kPermille)));
}

}  // namespace wagtail::leased
