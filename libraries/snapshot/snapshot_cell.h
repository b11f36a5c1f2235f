#pragma once

#include <atomic>
#include <concepts>
#include <functional>
#include <memory>
#include <utility>

#include "base/verify.h"
#include "snapshot/rcu_domain.h"

namespace wagtail {

/// Holds an immutable snapshot that many threads read without a lock and few threads replace, by
/// read-copy-update. Readers never wait; a publisher waits for readers of the old snapshot.
/// @tparam T the snapshot; safe to read from several threads at once
template <typename T>
class snapshot_cell {
 public:
  /// @param initial the first snapshot, not null
  explicit snapshot_cell(std::unique_ptr<const T> initial) : current_(initial.release()) {
    VERIFY(current_.load(std::memory_order_relaxed) != nullptr);
  }

  /// No other thread may use the cell any more.
  ~snapshot_cell() { delete current_.load(std::memory_order_acquire); }
  snapshot_cell(const snapshot_cell&) = delete;
  snapshot_cell& operator=(const snapshot_cell&) = delete;

  /// Runs `reader` on the current snapshot, which stays unchanged and alive until it returns.
  /// @param reader must keep no reference to the snapshot, nor publish, nor block for long, since
  ///   publishers of every cell wait for it
  /// @return what `reader` returns, by value
  template <std::invocable<const T&> R>
  auto Read(R&& reader) const {
    rcu_read_section section;
    return std::invoke(std::forward<R>(reader), *current_.load(std::memory_order_acquire));
  }

  /// Replaces the snapshot, waits for readers of the old one and destroys it. May be called from
  /// several threads; the one that exchanges last wins. Never inside Read.
  /// @param next the new snapshot, not null
  void Publish(std::unique_ptr<const T> next) {
    VERIFY(next != nullptr);
    std::unique_ptr<const T> old(current_.exchange(next.release(), std::memory_order_acq_rel));
    WaitForReaders();
  }

 private:
  std::atomic<const T*> current_;
};

}  // namespace wagtail
