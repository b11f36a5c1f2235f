#include "plan/peer_plan.h"

#include <algorithm>

namespace wagtail {

peer_plan::peer_plan(double place, const peer_plan_options& options)
    : patience_(options.patience), delay_(Scaled(options.spread, place)) {}

void peer_plan::OnPeerHas(uint64_t revision) {
  if (revision <= known_revision_) {
    return;
  }
  known_revision_ = revision;
  behind_since_.reset();
}

bool peer_plan::NeedsCopy(uint64_t revision, instant now) {
  if (revision <= known_revision_) {
    behind_since_.reset();
    return false;
  }
  if (!behind_since_.has_value()) {
    behind_since_ = now;
  }
  // A peer without any plan serves nobody until it has one.
  duration patience = known_revision_ == 0 ? duration::zero() : patience_;
  return now - *behind_since_ >= patience + delay_;
}

void peer_plan::OnCopySent(uint64_t revision) {
  known_revision_ = std::max(known_revision_, revision);
  behind_since_.reset();
}

}  // namespace wagtail
