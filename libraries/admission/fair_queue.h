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
/// A bounded queue that shares its output between teams.

namespace wagtail {

/// Weighted deficit round robin over one FIFO per team: while several teams wait, each gets items
/// out in proportion to its weight, however many it put in. Not safe for concurrent use.
template <typename T>
class fair_queue {
 public:
  /// @param bound items held at most, of all teams
  explicit fair_queue(size_t bound) : bound_(bound) {}

  /// @return false if the queue is full; nothing is then taken
  [[nodiscard]] bool Push(std::string_view team, T item) {
    if (size_ >= bound_) {
      return false;
    }
    Append(team, std::move(item), end_of_queue::kBack);
    return true;
  }

  /// Puts back an item popped before, ahead of its team's others. Always taken, since it held a
  /// place until a moment ago.
  void PutBack(std::string_view team, T item) {
    Append(team, std::move(item), end_of_queue::kFront);
  }

  /// @return the next item in the order of shares, or none if the queue is empty
  std::optional<T> Pop() {
    if (size_ == 0) {
      return std::nullopt;
    }
    while (turns_.front()->credit < 1) {
      turns_.front()->credit += turns_.front()->weight;
      if (turns_.front()->credit < 1) {
        MoveTurn();
      }
    }
    lane* current = turns_.front();
    T item = std::move(current->items.front());
    current->items.pop_front();
    current->credit -= 1;
    --size_;
    if (current->items.empty()) {
      current->credit = 0;
      turns_.pop_front();
    } else if (current->credit < 1) {
      MoveTurn();
    }
    VERIFY(turns_.empty() == (size_ == 0));
    return item;
  }

  /// Removes every item that `is_removed` accepts, for instance those of a cancelled job.
  /// @return how many were removed
  template <typename Predicate>
  size_t RemoveIf(Predicate is_removed) {
    size_t removed = 0;
    for (auto& [team, each] : lanes_) {
      removed += std::erase_if(each.items, is_removed);
      each.credit = each.items.empty() ? 0 : each.credit;
    }
    std::erase_if(turns_, [](const lane* each) { return each->items.empty(); });
    size_ -= removed;
    return removed;
  }

  /// @param weight share relative to the other teams, above 0; 1 unless set
  void SetWeight(std::string_view team, double weight) {
    VERIFY(weight > 0);
    LaneOf(team).weight = std::max(kMinWeight, weight);
  }

  /// Forgets a team that holds nothing.
  void Forget(std::string_view team) {
    const auto found = lanes_.find(team);
    if (found != lanes_.end() && found->second.items.empty()) {
      lanes_.erase(found);
    }
  }

  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  size_t SizeOf(std::string_view team) const {
    const auto found = lanes_.find(team);
    return found == lanes_.end() ? 0 : found->second.items.size();
  }

 private:
  /// Least weight: bounds the turns that Pop passes over.
  static constexpr double kMinWeight = 0.01;

  enum class end_of_queue { kFront, kBack };

  struct lane {
    std::deque<T> items;
    double weight = 1;
    double credit = 0;
  };

  lane& LaneOf(std::string_view team) {
    const auto found = lanes_.find(team);
    return found != lanes_.end() ? found->second : lanes_[std::string(team)];
  }

  void Append(std::string_view team, T item, end_of_queue end) {
    lane& target = LaneOf(team);
    if (target.items.empty()) {
      turns_.push_back(&target);
    }
    if (end == end_of_queue::kFront) {
      target.items.push_front(std::move(item));
    } else {
      target.items.push_back(std::move(item));
    }
    ++size_;
  }

  void MoveTurn() {
    turns_.push_back(turns_.front());
    turns_.pop_front();
  }

  size_t bound_;
  size_t size_ = 0;
  std::map<std::string, lane, std::less<>> lanes_;
  std::deque<lane*> turns_;
};

}  // namespace wagtail
