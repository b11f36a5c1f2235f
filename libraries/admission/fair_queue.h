#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/verify.h"

/// @file
/// A bounded queue with weighted fair scheduling between teams.

namespace wagtail {

/// Weighted deficit round robin over one FIFO per team: while several teams have items, items are
/// popped in proportion to the teams' weights, however many each team pushed. Not safe for
/// concurrent use.
template <typename T>
class fair_queue {
 public:
  /// @param bound maximum number of items, of all teams together
  explicit fair_queue(size_t bound) : bound_(bound) {}

  /// @return false if the queue is full; the item is then not added
  [[nodiscard]] bool Push(std::string_view team, T item) {
    if (size_ >= bound_) {
      return false;
    }
    Append(team, std::move(item), end_of_queue::kBack);
    return true;
  }

  /// Returns a popped item to the front of its team's queue. Never fails: the item was counted
  /// against the bound until it was popped.
  void PutBack(std::string_view team, T item) {
    Append(team, std::move(item), end_of_queue::kFront);
  }

  /// @return the next item in round-robin order, or none if the queue is empty
  std::optional<T> Pop() {
    if (size_ == 0) {
      return std::nullopt;
    }
    while (active_queues_.front()->credit < 1) {
      active_queues_.front()->credit += active_queues_.front()->weight;
      if (active_queues_.front()->credit < 1) {
        MoveFrontToBack();
      }
    }
    team_queue* current = active_queues_.front();
    T item = std::move(current->items.front());
    current->items.pop_front();
    current->credit -= 1;
    --size_;
    if (current->items.empty()) {
      current->credit = 0;
      active_queues_.pop_front();
    } else if (current->credit < 1) {
      MoveFrontToBack();
    }
    VERIFY(active_queues_.empty() == (size_ == 0));
    return item;
  }

  /// Removes every item that `is_removed` accepts, for instance those of a cancelled job.
  /// @return number of removed items
  template <typename Predicate>
  size_t RemoveIf(Predicate is_removed) {
    size_t removed = 0;
    for (auto& [team, each] : queues_) {
      removed += std::erase_if(each.items, is_removed);
      each.credit = each.items.empty() ? 0 : each.credit;
    }
    std::erase_if(active_queues_, [](const team_queue* each) { return each->items.empty(); });
    size_ -= removed;
    return removed;
  }

  /// @param weight share relative to the other teams, above 0; the default is 1
  void SetWeight(std::string_view team, double weight) {
    VERIFY(weight > 0);
    QueueOf(team).weight = std::max(kMinWeight, weight);
  }

  /// Removes the state of a team that has no items.
  void Forget(std::string_view team) {
    const auto found = queues_.find(team);
    if (found != queues_.end() && found->second.items.empty()) {
      queues_.erase(found);
    }
  }

  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  size_t SizeOf(std::string_view team) const {
    const auto found = queues_.find(team);
    return found == queues_.end() ? 0 : found->second.items.size();
  }

 private:
  /// Minimum weight: bounds the iterations of Pop.
  static constexpr double kMinWeight = 0.01;

  enum class end_of_queue { kFront, kBack };

  struct team_queue {
    std::deque<T> items;
    double weight = 1;
    double credit = 0;
  };

  team_queue& QueueOf(std::string_view team) {
    const auto found = queues_.find(team);
    return found != queues_.end() ? found->second : queues_[std::string(team)];
  }

  void Append(std::string_view team, T item, end_of_queue end) {
    team_queue& queue = QueueOf(team);
    if (queue.items.empty()) {
      active_queues_.push_back(&queue);
    }
    if (end == end_of_queue::kFront) {
      queue.items.push_front(std::move(item));
    } else {
      queue.items.push_back(std::move(item));
    }
    ++size_;
  }

  void MoveFrontToBack() {
    active_queues_.push_back(active_queues_.front());
    active_queues_.pop_front();
  }

  size_t bound_;
  size_t size_ = 0;
  std::map<std::string, team_queue, std::less<>> queues_;
  std::deque<team_queue*> active_queues_;
};

}  // namespace wagtail
