#include "placement/other_load_estimate.h"

#include <algorithm>
#include <cmath>

namespace wagtail {

void other_load_estimate::OnSent(instant now) {
  ForgetArrived(now);
  on_the_way_.push_back(now);
}

void other_load_estimate::OnReport(const target_load& load, uint32_t own, instant now) {
  ForgetArrived(now);
  const double seen = static_cast<double>(load.running) + load.queued;
  const double own_seen = own - std::min<double>(own, static_cast<double>(on_the_way_.size()));
  reported_ = std::max(0.0, seen - own_seen);
  mean_ += kMeanWeight * (reported_ - mean_);
  reported_at_ = now;
}

void other_load_estimate::Reset() {
  on_the_way_.clear();
  reported_ = 0;
  mean_ = 0;
}

double other_load_estimate::At(instant now, double mean_run) const {
  const double age = AgeIn(mean_run, now);
  const double mean = mean_ * std::exp(-std::max(0.0, age / kRunsRemembered - 1));
  return mean + (reported_ - mean_) * std::exp(-age);
}

double other_load_estimate::DeviationAt(instant now, double mean_run) const {
  const double fresh = std::exp(-2 * AgeIn(mean_run, now));
  return std::sqrt(std::max(0.0, At(now, mean_run)) * (1 - fresh));
}

double other_load_estimate::AgeIn(double mean_run, instant now) const {
  return static_cast<double>((now - reported_at_).count()) / std::max(1.0, mean_run);
}

void other_load_estimate::ForgetArrived(instant now) {
  while (!on_the_way_.empty() && now - on_the_way_.front() >= round_trip_) {
    on_the_way_.pop_front();
  }
}

}  // namespace wagtail
