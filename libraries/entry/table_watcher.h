#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "base/time.h"
#include "table/table.h"

namespace wagtail {

/// What one round of reads found changed.
struct table_round {
  instant started{};  ///< when the round began: the age of what it says counts from here
  bool succeeded = false;
  uint64_t revision = 0;        ///< every row changed up to here has been seen
  std::vector<table_row> rows;  ///< changed since the round before
};

/// Reads the rows that entries share, in a thread of its own, round after round.
class table_watcher {
 public:
  using round_hook = std::function<void(const table_round&)>;

  /// @param table outlives the watcher
  /// @param interval between the starts of two rounds
  /// @param on_round called on the watcher's thread
  table_watcher(table& table, duration interval, round_hook on_round);
  ~table_watcher();
  table_watcher(const table_watcher&) = delete;
  table_watcher& operator=(const table_watcher&) = delete;

  /// Begins the next round now, for instance after a write.
  void Hurry();

 private:
  void ThreadMain();
  table_round ReadRound();

  table& table_;
  duration interval_;
  round_hook on_round_;
  uint64_t revision_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool hurry_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wagtail
