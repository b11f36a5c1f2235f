#include "leases/run_table.h"

#include <algorithm>

#include "base/verify.h"

namespace wagtail::leased {
namespace {

bool IsAtTarget(const tracked_run& run) { return run.state != run_state::kQueued; }

template <typename condition>
std::vector<uint64_t> SerialsWhere(const run_table::map& runs, condition holds) {
  std::vector<uint64_t> serials;
  for (const auto& [serial, run] : runs) {
    if (holds(run)) {
      serials.push_back(serial);
    }
  }
  return serials;
}

}  // namespace

tracked_run& run_table::Add(uint64_t serial, run_order order, instant now) {
  uint32_t number = order.run;
  auto [added, is_new] = runs_.emplace(
      serial, tracked_run{.order = std::move(order), .number = number, .arrived = now});
  VERIFY(is_new);
  return added->second;
}

tracked_run run_table::Take(uint64_t serial) {
  auto taken = runs_.extract(serial);
  VERIFY(!taken.empty());
  return std::move(taken.mapped());
}

run_table::map::iterator run_table::FindOrder(session_id session, uint64_t order) {
  return std::ranges::find_if(runs_, [&](const auto& item) {
    return item.second.order.session == session && item.second.order.order == order;
  });
}

run_table::map::iterator run_table::FindAtTarget(const task_ref& task, uint32_t number) {
  return std::ranges::find_if(runs_, [&](const auto& item) {
    const tracked_run& run = item.second;
    return leased::IsAtTarget(run) && run.number == number && run.order.task == task;
  });
}

std::vector<uint64_t> run_table::AtTarget() const {
  return SerialsWhere(runs_, [](const tracked_run& run) { return leased::IsAtTarget(run); });
}

std::vector<uint64_t> run_table::Waiting() const {
  return SerialsWhere(runs_, [](const tracked_run& run) { return !leased::IsAtTarget(run); });
}

std::vector<uint64_t> run_table::ActiveOrders(session_id session) const {
  return SerialsWhere(runs_, [session](const tracked_run& run) {
    return run.order.session == session && !run.stop_requested;
  });
}

bool run_table::IsAtTarget(const task_ref& task) const {
  return std::ranges::any_of(runs_, [&](const auto& item) {
    return leased::IsAtTarget(item.second) && item.second.order.task == task;
  });
}

bool run_table::IsBusy(session_id session) const {
  return std::ranges::any_of(
      runs_, [session](const auto& item) { return item.second.order.session == session; });
}

bool run_table::StopOverdue(instant now, duration timeout) const {
  return std::ranges::any_of(runs_, [&](const auto& item) {
    const tracked_run& run = item.second;
    return run.state == run_state::kStopping && now - run.first_stop > timeout;
  });
}

task_resources run_table::OccupiedResources(const task_resources& capacity) const {
  task_resources occupied;
  for (const auto& [serial, run] : runs_) {
    if (leased::IsAtTarget(run)) {
      occupied += OccupiedBy(run.order.resources, capacity);
    }
  }
  return occupied;
}

}  // namespace wagtail::leased
