#include "leases/run_speed.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace wagtail::leased {
namespace {

template <typename T>
void PushBounded(std::deque<T>& window, T value, size_t max_size) {
  window.push_back(value);
  if (window.size() > max_size) {
    window.pop_front();
  }
}

}  // namespace

void run_speed::Done(duration ran, duration estimate) {
  PushBounded(failures_, false, kWindow);
  PushBounded(durations_, ran, kWindow);
  double ran_us = static_cast<double>(std::max<int64_t>(ran.count(), 1));
  mean_run_us_ = mean_run_us_ == 0 ? ran_us : mean_run_us_ + kMeanGain * (ran_us - mean_run_us_);
  if (estimate > duration::zero()) {
    PushBounded(log_ratios_, std::log(ran_us / static_cast<double>(estimate.count())), kWindow);
  }
}

void run_speed::Failed() { PushBounded(failures_, true, kWindow); }

void run_speed::Reset() {
  log_ratios_.clear();
  durations_.clear();
  failures_.clear();
  mean_run_us_ = 0;
}

double run_speed::slowness() const {
  if (log_ratios_.empty()) {
    return kNominal;
  }
  // Counts one extra run at nominal speed, so that the first run alone does not determine the
  // result.
  double sum = std::accumulate(log_ratios_.begin(), log_ratios_.end(), 0.0);
  return std::exp(sum / static_cast<double>(log_ratios_.size() + 1));
}

double run_speed::failing() const {
  if (failures_.size() < kMinSamples) {
    return 0;
  }
  auto failed = std::ranges::count(failures_, true);
  return static_cast<double>(failed) / static_cast<double>(failures_.size());
}

duration run_speed::mean_run() const { return duration(static_cast<int64_t>(mean_run_us_)); }

duration run_speed::short_run() const {
  if (durations_.empty()) {
    return duration::zero();
  }
  std::vector<duration> sorted(durations_.begin(), durations_.end());
  auto quarter = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 4);
  std::ranges::nth_element(sorted, quarter);
  return *quarter;
}

}  // namespace wagtail::leased
