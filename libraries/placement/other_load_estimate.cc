#include "placement/other_load_estimate.h"

#include <algorithm>
#include <cmath>

namespace wagtail {

void other_load_estimate::OnSent(instant now) {
  DropArrived(now);
  in_flight_.push_back(now);
}

void other_load_estimate::OnReport(const target_load& load, uint32_t own, instant now) {
  DropArrived(now);
  const double reported_total = static_cast<double>(load.running) + load.queued;
  const double reported_own = own - std::min<double>(own, static_cast<double>(in_flight_.size()));
  reported_ = std::max(0.0, reported_total - reported_own);
  mean_ += kMeanWeight * (reported_ - mean_);
  reported_at_ = now;
}

void other_load_estimate::Reset() {
  in_flight_.clear();
  reported_ = 0;
  mean_ = 0;
}

double other_load_estimate::At(instant now, double mean_run) const {
  const double age = AgeIn(mean_run, now);
  const double mean = mean_ * std::exp(-std::max(0.0, age / kRunsBeforeDecay - 1));
  return mean + (reported_ - mean_) * std::exp(-age);
}

double other_load_estimate::DeviationAt(instant now, double mean_run) const {
  const double fresh = std::exp(-2 * AgeIn(mean_run, now));
  return std::sqrt(std::max(0.0, At(now, mean_run)) * (1 - fresh));
}

double other_load_estimate::AgeIn(double mean_run, instant now) const {
  return static_cast<double>((now - reported_at_).count()) / std::max(1.0, mean_run);
}

void other_load_estimate::DropArrived(instant now) {
  while (!in_flight_.empty() && now - in_flight_.front() >= round_trip_) {
    in_flight_.pop_front();
  }
}

}  // namespace wagtail
