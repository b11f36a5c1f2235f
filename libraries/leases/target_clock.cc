#include "leases/target_clock.h"

#include "base/verify.h"

namespace wagtail::leased {

void target_clock::Observe(int64_t target_ms, instant received) {
  // Answers may overtake each other: only a later statement tells more.
  if (!observed_.has_value() || target_ms > observed_->target_ms) {
    observed_ = {.target_ms = target_ms, .received = received};
  }
}

bool target_clock::IsOfAnotherIncarnation(int64_t target_ms) const {
  return observed_.has_value() && target_ms + kOvertaken < observed_->target_ms;
}

int64_t target_clock::TargetTime(instant now) const {
  VERIFY(known());
  return observed_->target_ms + ToMilliseconds(now - observed_->received);
}

instant target_clock::LatestLocalTime(int64_t target_ms) const {
  VERIFY(known());
  auto ahead = std::chrono::milliseconds(target_ms - observed_->target_ms);
  auto slowest = std::chrono::duration_cast<duration>(ahead * (1 + kMaxDrift));
  constexpr duration kRounding = std::chrono::milliseconds(1);
  return observed_->received + slowest + kRounding;
}

}  // namespace wagtail::leased
