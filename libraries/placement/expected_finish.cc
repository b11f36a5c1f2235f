#include "placement/expected_finish.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

#include "base/verify.h"

namespace wagtail {

namespace {

/// @return mean of max(0, x) for a normal x
double ExpectedExcess(double mean, double deviation) {
  if (deviation < 1e-6) {
    return std::max(0.0, mean);
  }
  const double z = mean / deviation;
  const double density = std::exp(-0.5 * z * z) / std::sqrt(2 * std::numbers::pi);
  const double below = 0.5 * std::erfc(-z / std::numbers::sqrt2);
  return mean * below + deviation * density;
}

}  // namespace

target_state* expected_finish::Choose(const choice_request& request) const {
  service_run_time service = RunTimeOf(request.group);
  const uint32_t position = std::max<uint32_t>(request.group.waiting, request.group.deferred + 1);
  service.queue_ahead = QueueAhead(request.group, position);
  std::vector<forecast> forecasts;
  forecasts.reserve(request.group.targets.size());
  // Candidates are in the order of the group's targets.
  auto candidate = request.candidates.begin();
  for (target_state* target : request.group.targets) {
    const bool is_candidate = candidate != request.candidates.end() && *candidate == target;
    if (is_candidate) {
      ++candidate;
    }
    if (!target->IsUsable()) {
      continue;
    }
    forecast item = ForecastOf(target, service, request.now);
    item.is_open = item.is_open && is_candidate;
    forecasts.push_back(item);
  }
  VERIFY(candidate == request.candidates.end());
  const auto cost = [](const forecast& item) {
    return item.is_open ? item.finish : std::numeric_limits<double>::infinity();
  };
  const auto best = std::ranges::min_element(forecasts, {}, cost);
  if (best == forecasts.end() || !best->is_open) {
    return nullptr;
  }
  const auto probe = std::ranges::find_if(forecasts, [&](const forecast& item) {
    return item.is_open && item.target->IsProbeDue(request.now);
  });
  if (probe != forecasts.end()) {
    return probe->target;
  }
  if (ExpectedWait(forecasts, *best, position) < best->finish) {
    return nullptr;
  }
  return BreakTie(forecasts, *best, request.random);
}

double expected_finish::QueueAhead(const service_group& group, uint32_t position) const {
  double slots = 0;
  for (const target_state* target : group.targets) {
    slots += target->IsUsable() ? target->profile().slots : 0;
  }
  const double deep_backlog = std::max(1.0, options_.deep_backlog * slots);
  return options_.queue_ahead +
         options_.backlog_queue_ahead * std::min(1.0, (position - 1) / deep_backlog);
}

expected_finish::service_run_time expected_finish::RunTimeOf(const service_group& group) const {
  double log_sum = 0;
  double mean_sum = 0;
  double inverse_sum = 0;
  uint32_t known = 0;
  for (const target_state* target : group.targets) {
    const run_time_estimate& estimate = target->run_time();
    if (estimate.results() < options_.learning.trusted_results) {
      continue;
    }
    ++known;
    log_sum += std::log(estimate.typical());
    mean_sum += estimate.mean_factor();
    inverse_sum += estimate.inverse_factor();
  }
  if (known == 0) {
    return {.typical = static_cast<double>(options_.learning.assumed_run.count())};
  }
  return {std::exp(log_sum / known), mean_sum / known, known / inverse_sum};
}

expected_finish::forecast expected_finish::ForecastOf(target_state* target,
                                                      const service_run_time& service,
                                                      instant now) const {
  forecast result{.target = target};
  const run_time_estimate& estimate = target->run_time();
  const bool is_known = estimate.results() >= options_.learning.trusted_results;
  double typical = is_known ? estimate.typical() : service.typical;
  const auto without_progress = static_cast<double>(target->TimeSinceProgress(now).count());
  if (without_progress > options_.learning.stall_factor * service.mean_factor * typical) {
    typical = without_progress;
  }
  result.run = typical * service.run_factor;
  result.mean_run = typical * service.mean_factor;
  const double slots = target->profile().slots;
  const double occupied = target->outstanding() + target->OtherLoadAt(now, result.mean_run);
  const double ahead =
      ExpectedExcess(occupied + 1 - slots, target->OtherLoadDeviationAt(now, result.mean_run));
  result.finish = RoundTripTo(*target) + result.run + ahead * result.mean_run / slots;
  result.is_open = target->outstanding() < target->window().WindowAt(now) &&
                   ahead <= service.queue_ahead && !target->health().IsEjected(now);
  return result;
}

double expected_finish::ExpectedWait(std::span<const forecast> forecasts, const forecast& best,
                                     uint32_t position) const {
  double slots_freed_per_microsecond = 0;
  double weighted_run = 0;
  for (const forecast& item : forecasts) {
    if (item.run >= best.finish || item.target == best.target) {
      continue;
    }
    const double rate = item.target->outstanding() / item.mean_run;
    slots_freed_per_microsecond += rate;
    weighted_run += rate * (RoundTripTo(*item.target) + item.run);
  }
  if (slots_freed_per_microsecond <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  return options_.wait_weight * position / slots_freed_per_microsecond +
         weighted_run / slots_freed_per_microsecond;
}

double expected_finish::RoundTripTo(const target_state& target) const {
  const bool is_same_domain = target.profile().failure_domain == options_.failure_domain;
  const duration round_trip = is_same_domain ? options_.round_trip_within : options_.round_trip;
  return static_cast<double>(round_trip.count());
}

target_state* expected_finish::BreakTie(std::span<const forecast> forecasts, const forecast& best,
                                        std::mt19937_64& random) const {
  const double limit = best.finish * (1 + options_.tie_tolerance);
  std::vector<target_state*> tied;
  for (const forecast& item : forecasts) {
    if (item.is_open && item.finish <= limit) {
      tied.push_back(item.target);
    }
  }
  std::uniform_int_distribution<size_t> position(0, tied.size() - 1);
  return tied[position(random)];
}

}  // namespace wagtail
