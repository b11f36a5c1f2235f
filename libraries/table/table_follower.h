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
  /// Pause after a failed call.
  duration retry = std::chrono::milliseconds(300);
};

/// Keeps a copy of some rows up to date: reads them once, follows their changes, and reads them
/// anew after a failure or when changes were missed. The copy never goes back to an older revision.
/// Calls go through hooks, so that it knows no sockets, threads or clocks.
class table_follower {
 public:
  using rows = std::map<std::string, std::string, std::less<>>;
  using changes_hook = std::function<void(absl::StatusOr<table_changes>)>;
  struct hooks {
    /// Reads all rows.
    std::function<void(changes_hook)> read;
    /// Waits for changes past a revision and reads them; there may be none.
    std::function<void(uint64_t after, changes_hook)> follow;
    /// Runs something later.
    std::function<void(duration, std::function<void()>)> run_after;
    /// The rows as of a newer revision.
    std::function<void(const rows&, uint64_t revision)> on_changed;
    /// The table can't be read.
    std::function<void(const absl::Status&)> on_unavailable;
    /// The table can be read again, or for the first time.
    std::function<void()> on_available;
  };

  table_follower(table_follower_options options, hooks hooks);

  /// Begins; to be called once.
  void Start();

 private:
  void Read();
  void Follow();
  void Failed(const absl::Status& status);
  void Regained();

  table_follower_options options_;
  hooks hooks_;
  rows rows_;
  uint64_t revision_ = 0;
  bool in_touch_ = false;
  bool told_lost_ = false;
};

}  // namespace wagtail
