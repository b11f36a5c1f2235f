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

/// Changes found by one round of reads.
struct table_round {
  instant started{};  ///< start of the round; the age of its data counts from here
  bool succeeded = false;
  uint64_t revision = 0;        ///< all changes up to here are included
  std::vector<table_row> rows;  ///< changed since the previous round
};

/// Polls the rows that entries share on a dedicated thread.
class table_watcher {
 public:
  using round_hook = std::function<void(const table_round&)>;

  /// @param table must outlive the watcher
  /// @param interval time between the starts of two rounds
  /// @param on_round called on the watcher's thread
  table_watcher(table& table, duration interval, round_hook on_round);
  ~table_watcher();
  table_watcher(const table_watcher&) = delete;
  table_watcher& operator=(const table_watcher&) = delete;

  /// Starts the next round immediately, e.g. after a write.
  void ReadNow();

 private:
  void ThreadMain();
  table_round ReadRound();

  table& table_;
  duration interval_;
  round_hook on_round_;
  uint64_t revision_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool read_requested_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wagtail
