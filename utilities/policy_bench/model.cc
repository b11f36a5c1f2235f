#include "policy_bench/model.h"

#include <algorithm>
#include <cmath>

#include "base/verify.h"

namespace wagtail {

namespace {

constexpr std::string_view kService = "service";
constexpr size_t kEntryQueueBound = 20000;
/// Waiting tasks that a round of picks looks at beyond the one at the head of the queue.
constexpr size_t kTasksLookedAt = 16;
constexpr duration kQuickFailure = std::chrono::milliseconds(2);
constexpr duration kTaskTimeout = std::chrono::seconds(10);
constexpr double kSlowFactor = 10;
/// Longest time until a change of configuration has reached a process.
constexpr duration kConfigurationSpread = std::chrono::milliseconds(100);
/// The window of the faults reaches this far beyond the last of them.
constexpr duration kWindowTail = std::chrono::seconds(10);
constexpr duration kFluidStep = std::chrono::milliseconds(5);

std::string DomainName(uint32_t domain) { return "domain-" + std::to_string(domain); }

}  // namespace

model::model(const scenario& scenario, std::span<const task_arrival> arrivals,
             placement_options options)
    : scenario_(scenario), arrivals_(arrivals), excluded_(arrivals.size()), random_(options.seed) {
  options.local_queue = scenario.local_queue;
  options.round_trip_within = 2 * scenario.delay_within;
  options.round_trip = 2 * scenario.delay_between;
  for (uint32_t target = 0; target < scenario.targets.size(); ++target) {
    target_model state;
    state.shape = scenario.targets[target];
    state.incarnation = {"target-" + std::to_string(target), 1};
    targets_.push_back(std::move(state));
  }
  for (uint32_t entry = 0; entry < scenario.entries; ++entry) {
    options.seed += 1;
    options.failure_domain = DomainName(entry % scenario.domains);
    entries_.emplace_back().policy = MakePlacement(options);
    for (const target_model& target : targets_) {
      target_profile profile;
      profile.incarnation = target.incarnation;
      profile.service = kService;
      profile.failure_domain = DomainName(target.shape.domain);
      profile.slots = target.shape.slots;
      entries_.back().policy->AddTarget(profile, now());
    }
  }
}

model_result model::Run() {
  for (uint32_t task = 0; task < arrivals_.size(); ++task) {
    At(arrivals_[task].at, [this, task] { Arrive(task); });
  }
  for (const fault& fault : scenario_.faults) {
    At(fault.at, [this, fault] { Apply(fault); });
  }
  if (!scenario_.faults.empty()) {
    window_start_ = scenario_.faults.front().at;
    window_end_ = scenario_.faults.back().at + kWindowTail;
  }
  while (!events_.empty()) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.action();
  }
  MeasurePossibleWork();
  return std::move(result_);
}

void model::At(duration when, std::function<void()> action) {
  events_.push({when, scheduled_++, std::move(action)});
}

void model::Arrive(uint32_t task) {
  const uint32_t entry = arrivals_[task].entry;
  if (entries_[entry].waiting.size() >= kEntryQueueBound) {
    result_.shed += IsMeasured(task) ? 1 : 0;
    return;
  }
  entries_[entry].waiting.push_back(task);
  const bool job_goes_on = task + 1 < arrivals_.size() && arrivals_[task + 1].at == now_ &&
                           arrivals_[task + 1].entry == entry;
  if (!job_goes_on) {
    Dispatch(entry);
  }
}

void model::Dispatch(uint32_t entry) {
  entry_state& state = entries_[entry];
  state.policy->SetWaiting(kService, static_cast<uint32_t>(state.waiting.size()));
  size_t position = 0;
  while (position < state.waiting.size()) {
    const uint32_t task = state.waiting[position];
    if (Offer(entry, task)) {
      state.waiting.erase(state.waiting.begin() + static_cast<ptrdiff_t>(position));
      continue;
    }
    if (excluded_[task].empty() || ++position == kTasksLookedAt) {
      break;
    }
  }
  const auto wake = state.policy->NextWake(now());
  if (!wake.has_value() || state.waiting.empty() || state.wake_at <= wake->time_since_epoch()) {
    return;
  }
  state.wake_at = wake->time_since_epoch();
  At(state.wake_at, [this, entry, at = state.wake_at] {
    if (entries_[entry].wake_at == at) {
      entries_[entry].wake_at = duration::max();
      Dispatch(entry);
    }
  });
}

bool model::Offer(uint32_t entry, uint32_t task) {
  const auto picked = entries_[entry].policy->Pick(kService, {}, excluded_[task], now());
  if (!picked.has_value()) {
    return false;
  }
  const auto found = std::ranges::find(targets_, *picked, &target_model::incarnation);
  const auto target = static_cast<uint32_t>(found - targets_.begin());
  entries_[entry].policy->OnSent(*picked, now());
  At(now_ + scenario_.Delay(entry, target), [this, target, task] { Deliver(target, task); });
  return true;
}

void model::Deliver(uint32_t target, uint32_t task) {
  target_model& state = targets_[target];
  const bool is_full = state.queued.size() >= scenario_.local_queue;
  if (state.refuses || (state.running >= state.shape.slots && is_full)) {
    Refuse(target, task);
  } else if (state.running < state.shape.slots) {
    Start(target, task);
  } else {
    state.queued.push_back(task);
  }
}

void model::Start(uint32_t target, uint32_t task) {
  target_model& state = targets_[target];
  Account(state);
  ++state.running;
  const double speed = state.shape.speed / (state.behaviour == fault_kind::kSlow ? kSlowFactor : 1);
  auto run = duration(std::llround(static_cast<double>(arrivals_[task].size.count()) / speed));
  auto outcome = task_outcome::kCompleted;
  if (state.behaviour == fault_kind::kQuickFail) {
    run = kQuickFailure;
    outcome = task_outcome::kFailed;
  }
  if (state.behaviour == fault_kind::kSilent || run > kTaskTimeout) {
    run = kTaskTimeout;
    outcome = task_outcome::kTimedOut;
  }
  At(now_ + run, [=, this] { Finish(target, task, outcome, run); });
}

void model::Finish(uint32_t target, uint32_t task, task_outcome outcome, duration run) {
  target_model& state = targets_[target];
  Account(state);
  --state.running;
  if (!state.queued.empty()) {
    const uint32_t next = state.queued.front();
    state.queued.pop_front();
    Start(target, next);
  }
  const uint32_t entry = arrivals_[task].entry;
  At(now_ + scenario_.Delay(entry, target), [=, this, load = LoadOf(state)] {
    if (IsMeasured(task) && outcome == task_outcome::kCompleted) {
      const duration response = now_ - arrivals_[task].at;
      result_.ratios.push_back(ToSeconds(response) / ToSeconds(scenario_.Ideal(arrivals_[task])));
    }
    result_.failed += IsMeasured(task) && outcome != task_outcome::kCompleted ? 1 : 0;
    entries_[entry].policy->OnResult(targets_[target].incarnation, outcome, run, load, now());
    Dispatch(entry);
  });
}

void model::Refuse(uint32_t target, uint32_t task) {
  const uint32_t entry = arrivals_[task].entry;
  result_.wasted += IsMeasured(task) ? 1 : 0;
  At(now_ + scenario_.Delay(entry, target), [=, this, load = LoadOf(targets_[target])] {
    entries_[entry].policy->OnRefused(targets_[target].incarnation, load, now());
    if (excluded_[task].size() >= targets_.size() / 2) {
      excluded_[task].clear();
    }
    excluded_[task].push_back(targets_[target].incarnation);
    entries_[entry].waiting.push_front(task);
    Dispatch(entry);
  });
}

void model::Apply(const fault& fault) {
  if (fault.kind == fault_kind::kLeave || fault.kind == fault_kind::kReturn) {
    SetDomainAdmitted(fault.subject, fault.kind == fault_kind::kReturn);
    return;
  }
  targets_[fault.subject].behaviour = fault.kind;
}

void model::SetDomainAdmitted(uint32_t domain, bool admitted) {
  for (uint32_t target = 0; target < targets_.size(); ++target) {
    if (targets_[target].shape.domain != domain) {
      continue;
    }
    Account(targets_[target]);
    targets_[target].admitted = admitted;
    At(now_ + Spread(), [=, this] {
      targets_[target].refuses = !admitted;
      std::deque<uint32_t> handed_back;
      if (!admitted) {
        handed_back.swap(targets_[target].queued);
      }
      std::ranges::for_each(handed_back, [&](uint32_t task) { Refuse(target, task); });
    });
  }
  for (uint32_t entry = 0; entry < entries_.size(); ++entry) {
    At(now_ + Spread(), [=, this] {
      for (const target_model& target : targets_) {
        if (target.shape.domain == domain) {
          entries_[entry].policy->SetAdmitted(target.incarnation, admitted, now());
        }
      }
      Dispatch(entry);
    });
  }
}

void model::Account(target_model& target) {
  const duration from = std::max(target.accounted, window_start_);
  const duration until = std::min(now_, window_end_);
  if (until > from && target.admitted) {
    result_.work_done += ToSeconds(until - from) * target.running * target.shape.speed;
  }
  target.accounted = now_;
}

void model::MeasurePossibleWork() {
  const bool has_departure = std::ranges::any_of(
      scenario_.faults, [](const fault& each) { return each.kind == fault_kind::kLeave; });
  if (!has_departure) {
    return;
  }
  std::vector<bool> admitted(scenario_.domains, true);
  size_t arrival = 0;
  size_t next_fault = 0;
  double backlog = 0;
  for (duration at{}; at < window_end_; at += kFluidStep) {
    for (; arrival < arrivals_.size() && arrivals_[arrival].at <= at; ++arrival) {
      backlog += ToSeconds(arrivals_[arrival].size);
    }
    for (; next_fault < scenario_.faults.size() && scenario_.faults[next_fault].at <= at;
         ++next_fault) {
      const fault& change = scenario_.faults[next_fault];
      if (change.kind == fault_kind::kLeave || change.kind == fault_kind::kReturn) {
        admitted[change.subject] = change.kind == fault_kind::kReturn;
      }
    }
    double capacity = 0;
    for (const target_model& target : targets_) {
      capacity += admitted[target.shape.domain] ? target.shape.slots * target.shape.speed : 0;
    }
    const double done = std::min(backlog, capacity * ToSeconds(kFluidStep));
    backlog -= done;
    result_.work_possible += at >= window_start_ ? done : 0;
  }
}

target_load model::LoadOf(const target_model& target) const {
  return {.running = target.running, .queued = static_cast<uint32_t>(target.queued.size())};
}

duration model::Spread() {
  std::uniform_int_distribution<int64_t> spread(0, kConfigurationSpread.count());
  return duration(spread(random_));
}

}  // namespace wagtail
