#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "absl/status/statusor.h"
#include "base/time.h"
#include "table/table.h"

namespace wagtail {

struct table_follower_options {
  /// Delay after a failed call.
  duration retry_delay = std::chrono::milliseconds(300);
};

/// How a table_follower got the rows that it passes on.
enum class rows_source { kRead, kPoll };

/// Maintains a copy of some rows: reads them once, follows their changes, and rereads them after a
/// failure or when changes were missed. The copy never reverts to an older revision, and a row that
/// can't be read keeps its last value. All calls go
/// through hooks, which keeps it independent of sockets, threads and clocks.
class table_follower {
 public:
  using rows = std::map<std::string, std::string, std::less<>>;
  using changes_hook = std::function<void(absl::StatusOr<table_changes>)>;
  struct hooks {
    /// Reads all rows.
    std::function<void(changes_hook)> read;
    /// Waits for changes after a revision and reads them; the result may be empty.
    std::function<void(uint64_t after, changes_hook)> follow;
    /// Runs a function after a delay.
    std::function<void(duration, std::function<void()>)> run_after;
    /// Receives the rows as of a newer revision.
    std::function<void(const rows&, uint64_t revision, rows_source source)> on_changed;
    /// Called when the table has answered, whether or not rows changed.
    std::function<void()> on_answered = [] {};
    /// Called when the table becomes unreadable.
    std::function<void(const absl::Status&)> on_unavailable;
    /// Called when the table is readable for the first time or again.
    std::function<void()> on_available;
  };

  table_follower(table_follower_options options, hooks hooks);

  /// Starts following; must be called once.
  void Start();

 private:
  void Read();
  void Follow();
  void OnFailure(const absl::Status& status);
  void OnSuccess();

  table_follower_options options_;
  hooks hooks_;
  rows rows_;
  uint64_t revision_ = 0;
  bool is_readable_ = false;
  bool reported_unavailable_ = false;
};

}  // namespace wagtail
