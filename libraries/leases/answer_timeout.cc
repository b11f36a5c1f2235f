#include "leases/answer_timeout.h"

#include <algorithm>

namespace wagtail::leased {
namespace {

/// Weights of a new answer in the averages, as parts of one: those of TCP's retransmission timer.
constexpr int kRoundTripParts = 8;
constexpr int kVariationParts = 4;
/// Weight of a call in the share of lost ones, as a part of one.
constexpr double kLostShareParts = 16;
/// Bounds the doubling, which the upper limit of the timeout cuts anyway.
constexpr unsigned kMaxDoublings = 8;

}  // namespace

void answer_timeout::OnAnswer(duration took) {
  lost_in_a_row_ = 0;
  lost_share_ -= lost_share_ / kLostShareParts;
  if (!has_answers_) {
    has_answers_ = true;
    smoothed_ = took;
    variation_ = took / 2;
    return;
  }
  duration error = took - smoothed_;
  variation_ += (std::chrono::abs(error) - variation_) / kVariationParts;
  smoothed_ += error / kRoundTripParts;
}

void answer_timeout::OnTimeout() {
  ++lost_in_a_row_;
  lost_share_ += (1 - lost_share_) / kLostShareParts;
}

duration answer_timeout::Get() const {
  if (!has_answers_ || lost_share_ < options_.min_lost_share) {
    return options_.max;
  }
  unsigned excess = lost_in_a_row_ - std::min(lost_in_a_row_, options_.max_lost_in_a_row);
  duration learnt = std::max(smoothed_ + variation_ * options_.variations, options_.min);
  return std::min(learnt * (1U << std::min(excess, kMaxDoublings)), options_.max);
}

}  // namespace wagtail::leased
