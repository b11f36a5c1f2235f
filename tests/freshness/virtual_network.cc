#include "tests/freshness/virtual_network.h"

#include <algorithm>
#include <chrono>

namespace wagtail {

namespace {

constexpr duration kShortestDelay = std::chrono::microseconds(100);
constexpr uint64_t kUsualSpread = 4'000;           // microseconds
constexpr uint64_t kRareSpread = 2'000'000;        // microseconds
constexpr uint64_t kOneInRare = 100;               // messages that take long
constexpr uint64_t kOneInLost = 100;               // messages that are lost
constexpr uint64_t kOffsetSpread = 1'000'000'000;  // microseconds

}  // namespace

virtual_network::virtual_network(uint64_t seed, int64_t clock_deviation_ppm,
                                 network_quality quality)
    : random_(seed), clock_deviation_ppm_(clock_deviation_ppm), quality_(quality) {}

node_id virtual_network::AddNode() {
  node_state node;
  // Extremes are where margins show, so most clocks run at one.
  double steps = static_cast<double>(Random(3)) - 1;
  node.rate = 1 + steps * static_cast<double>(clock_deviation_ppm_) / 1e6;
  node.offset = duration(Random(kOffsetSpread) + kOffsetSpread);
  nodes_.push_back(node);
  return nodes_.size() - 1;
}

void virtual_network::Restart(node_id node) {
  ++nodes_[node].life;
  nodes_[node].paused_until = now_;
}

void virtual_network::Pause(node_id node, duration span) {
  nodes_[node].paused_until = std::max(nodes_[node].paused_until, now_ + span);
}

void virtual_network::Cut(node_id one, node_id other, duration span) {
  auto& until = CutUntil(one, other);
  until = std::max(until, now_ + span);
}

void virtual_network::Freeze(node_id from, node_id to, duration span) {
  auto& until = frozen_until_[{from, to}];
  until = std::max(until, now_ + span);
}

void virtual_network::Heal() {
  for (auto& node : nodes_) {
    node.paused_until = std::min(node.paused_until, now_);
  }
  cut_until_.clear();
  frozen_until_.clear();
}

instant virtual_network::ClockOf(node_id node) const {
  const auto& state = nodes_[node];
  auto elapsed = static_cast<double>(now_.time_since_epoch().count()) * state.rate;
  return instant(state.offset + duration(static_cast<int64_t>(elapsed)));
}

void virtual_network::After(node_id node, duration delay, action task) {
  Push({now_ + delay, 0, node, nodes_[node].life, binding::kLife, std::move(task)});
}

void virtual_network::Send(node_id from, node_id to, action receive) {
  bool is_lossy = quality_ == network_quality::kLossy;
  if (now_ < CutUntil(from, to) || (is_lossy && Random(kOneInLost) == 0)) {
    return;
  }
  uint64_t spread = is_lossy && Random(kOneInRare) == 0 ? kRareSpread : kUsualSpread;
  instant at =
      std::max(now_, frozen_until_[{from, to}]) + kShortestDelay + duration(Random(spread));
  auto arrive = [this, from, to, receive = std::move(receive)] {
    if (now_ >= CutUntil(from, to)) {
      receive();
    }
  };
  Push({at, 0, to, 0, binding::kNode, std::move(arrive)});
}

void virtual_network::RunUntil(instant end) {
  while (!queue_.empty() && queue_.top().at <= end) {
    event item = queue_.top();
    queue_.pop();
    Run(std::move(item));
  }
  now_ = end;
}

void virtual_network::Push(event item) {
  item.order = ++order_;
  queue_.push(std::move(item));
}

void virtual_network::Run(event item) {
  now_ = std::max(now_, item.at);
  const auto& node = nodes_[item.node];
  if (item.bound_to == binding::kLife && item.life != node.life) {
    return;
  }
  if (now_ < node.paused_until) {
    item.at = node.paused_until;
    Push(std::move(item));
    return;
  }
  ++events_;
  item.task();
}

}  // namespace wagtail
