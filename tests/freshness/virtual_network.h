#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "base/time.h"

/// @file
/// Processes with clocks of their own over virtual time, and messages that come late or not at all.

namespace wagtail {

using node_id = std::size_t;
using action = std::function<void()>;

/// Whether some messages are lost or take seconds although nothing was disturbed.
enum class network_quality { kLossy, kReliable };

class virtual_network {
 public:
  /// @param clock_deviation_ppm clocks run at most so much too fast or too slow
  virtual_network(uint64_t seed, int64_t clock_deviation_ppm, network_quality quality);

  node_id AddNode();
  /// Ends the node's process; what was under way to its timers is dropped. Messages reach the next.
  void Restart(node_id node);
  /// Holds up everything that the node would do.
  void Pause(node_id node, duration span);
  /// Loses everything between two nodes.
  void Cut(node_id one, node_id other, duration span);
  /// Ends all pauses, cuts and freezes.
  void Heal();
  /// Holds up everything sent one way, and delivers it in the end.
  void Freeze(node_id from, node_id to, duration span);

  instant real_now() const { return now_; }
  /// @return what the node's clock shows
  instant ClockOf(node_id node) const;
  /// Runs `task` at the node after `delay` of real time, unless it is restarted before.
  void After(node_id node, duration delay, action task);
  /// Runs `receive` at `to`, whichever life it is in when the message arrives.
  void Send(node_id from, node_id to, action receive);

  /// @return a number below `limit`
  uint64_t Random(uint64_t limit) { return random_() % limit; }
  void RunUntil(instant end);
  uint64_t events() const { return events_; }

 private:
  enum class binding { kLife, kNode };
  struct node_state {
    uint64_t life = 0;
    double rate = 1;
    duration offset{};
    instant paused_until{};
  };
  using link_id = std::pair<node_id, node_id>;
  struct event {
    instant at;
    uint64_t order = 0;
    node_id node = 0;
    uint64_t life = 0;
    binding bound_to = binding::kLife;
    action task;
    bool operator<(const event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };

  /// @return until when nothing gets through between two nodes
  instant& CutUntil(node_id one, node_id other) { return cut_until_[std::minmax(one, other)]; }
  void Push(event item);
  void Run(event item);

  std::mt19937_64 random_;
  int64_t clock_deviation_ppm_;
  network_quality quality_;
  instant now_{};
  uint64_t order_ = 0;
  uint64_t events_ = 0;
  std::vector<node_state> nodes_;
  std::map<link_id, instant> cut_until_;
  std::map<link_id, instant> frozen_until_;  // from, to
  std::priority_queue<event> queue_;
};

}  // namespace wagtail
