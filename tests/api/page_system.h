#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "entry/entry_daemon.h"
#include "http/http_server.h"
#include "table/memory_table.h"
#include "target/target_daemon.h"

/// @file
/// The processes in the examples of docs/API.md, run inside the test: two entries, the target
/// `court-1` and its daemon. The operator's first token is `operator-token`.

namespace wagtail {

class page_system {
 public:
  page_system();

  /// @param host `entry-1`, `entry-2` or `court-1-daemon`
  std::string UrlOfHost(const std::string& host) const;
  std::string target_url() const;
  /// Starts or ends an outage of the table, in which every read and write fails.
  void SetTableOutage(bool is_down) { table_is_down_ = is_down; }

 private:
  std::unique_ptr<entry_daemon> MakeEntry(std::string name);

  std::atomic<bool> table_is_down_ = false;
  memory_table table_;
  std::unique_ptr<http_server> target_;
  std::unique_ptr<entry_daemon> entry_1_;
  std::unique_ptr<entry_daemon> entry_2_;
  target_daemon daemon_;
  std::unique_ptr<http_server> daemon_http_;
};

}  // namespace wagtail
