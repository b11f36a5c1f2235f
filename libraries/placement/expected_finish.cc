#include "placement/expected_finish.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <ranges>

namespace wagtail {

target_state* expected_finish::Choose(const choice_request& request) const {
  const group_run_time assumed = AssumedRun(request.group);
  std::vector<forecast> forecasts;
  forecasts.reserve(request.candidates.size());
  for (target_state* target : request.candidates) {
    forecasts.push_back(ForecastOf(target, assumed, request.now));
  }
  const auto cost = [](const forecast& entry) {
    return entry.is_open ? entry.finish : std::numeric_limits<double>::infinity();
  };
  const auto best = std::ranges::min_element(forecasts, {}, cost);
  if (best == forecasts.end() || !best->is_open) {
    return nullptr;
  }
  if (best->target->IsProbeDue(request.now)) {
    return best->target;
  }
  const uint32_t position =
      std::max<uint32_t>(request.group.waiting, request.group.turned_away + 1);
  if (ExpectedWait(forecasts, *best, position) < best->finish) {
    return nullptr;
  }
  return BreakTie(forecasts, *best, request.random);
}

expected_finish::group_run_time expected_finish::AssumedRun(const service_group& group) const {
  const auto assumed = static_cast<double>(options_.learning.assumed_run.count());
  double log_sum = 0;
  double mean_sum = 0;
  uint32_t known = 0;
  for (const target_state* target : group.targets) {
    if (target->run_time().results() == 0) {
      continue;
    }
    ++known;
    log_sum += std::log(target->run_time().typical());
    mean_sum += target->run_time().mean();
  }
  if (known == 0) {
    return {assumed, assumed};
  }
  return {std::exp(log_sum / known), mean_sum / known};
}

expected_finish::forecast expected_finish::ForecastOf(target_state* target,
                                                      const group_run_time& assumed,
                                                      instant now) const {
  forecast result{.target = target};
  const run_time_estimate& learnt = target->run_time();
  const bool is_known = learnt.results() >= options_.learning.trusted_results;
  result.typical_run = is_known ? learnt.typical() : assumed.typical;
  result.mean_run = is_known ? learnt.mean() : assumed.mean;
  const auto silence = static_cast<double>(target->SilenceAt(now).count());
  if (silence > options_.learning.silence_factor * result.mean_run) {
    result.typical_run = std::max(result.typical_run, silence);
    result.mean_run = std::max(result.mean_run, silence);
  }
  const double slots = target->profile().slots;
  const double occupied = target->outstanding() + target->OthersAt(now, result.mean_run);
  const double ahead = std::max(0.0, occupied + 1 - slots);
  result.finish = static_cast<double>(options_.round_trip.count()) + result.typical_run +
                  ahead * result.mean_run / slots;
  result.is_open = target->outstanding() < target->window().WindowAt(now) &&
                   ahead <= options_.queue_ahead && !target->health().IsEjected(now);
  return result;
}

double expected_finish::ExpectedWait(std::span<const forecast> forecasts, const forecast& best,
                                     uint32_t position) const {
  double frees_per_microsecond = 0;
  double weighted_run = 0;
  for (const forecast& entry : forecasts) {
    if (entry.typical_run >= best.finish || entry.target == best.target) {
      continue;
    }
    const double rate = entry.target->outstanding() / entry.mean_run;
    frees_per_microsecond += rate;
    weighted_run += rate * entry.typical_run;
  }
  if (frees_per_microsecond <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  return static_cast<double>(options_.round_trip.count()) + position / frees_per_microsecond +
         weighted_run / frees_per_microsecond;
}

target_state* expected_finish::BreakTie(std::span<const forecast> forecasts, const forecast& best,
                                        std::mt19937_64& random) const {
  const double limit = best.finish * (1 + options_.tie_tolerance);
  std::vector<target_state*> tied;
  for (const forecast& entry : forecasts) {
    if (entry.is_open && entry.finish <= limit) {
      tied.push_back(entry.target);
    }
  }
  std::uniform_int_distribution<size_t> position(0, tied.size() - 1);
  return tied[position(random)];
}

}  // namespace wagtail
