#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "http/http_server.h"
#include "leases/run_controller.h"
#include "metrics/metrics_registry.h"
#include "plan/newest_plan.h"
#include "platform/http_listeners.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"
#include "platform/target_calls.h"
#include "rpc/event_loop.h"
#include "session/entry_links.h"
#include "table/table_follower.h"

namespace wagtail::leased {

/// Agent daemon of one target: connects the run controller with the target on the same VM, the
/// entries and the platform's store.
class agent_service {
 public:
  explicit agent_service(const platform::node_settings& settings);
  ~agent_service();

  absl::Status Start();
  void Reload(const platform::node_settings& settings);
  /// Drains the agent: waits for running tasks to end.
  /// @param limit maximum duration of the drain
  void Stop(duration limit);

 private:
  http_response AnswerControl(const http_request& request);
  void MakeController();
  void MakeLinks();
  void FollowStore();
  void LoadTarget();
  void OnAnnouncement(const target_announcement& announcement);
  void OnDeparture(const target_departure& departure);
  /// Logs and saves the target in use, if it has changed.
  void NoteTarget();
  void Tick();
  /// @param source "read" or "poll" of the store, or the entry that sent the plan
  void ApplyPlan(operating_plan plan, std::string_view source);
  void OnResult(const run_result& result);
  void ScheduleFlush();

  platform::node_settings settings_;
  metrics_registry metrics_;
  platform::http_listeners listeners_;
  family<counter>* results_;
  family<histogram>* run_seconds_;
  event_loop loop_;
  // The following members are used only on the loop's thread.
  newest_plan plan_;
  std::unique_ptr<platform::target_calls> calls_;
  std::unique_ptr<run_controller> controller_;
  std::unique_ptr<entry_links> links_;
  std::unique_ptr<platform::store_client> store_;
  std::unique_ptr<table_follower> plan_follower_;
  std::unique_ptr<table_follower> entries_follower_;
  /// The target in use as it was last logged.
  std::optional<target_announcement> noted_target_;
  bool flush_posted_ = false;
  // Servers with their own threads; destroyed first.
  std::unique_ptr<http_server> control_server_;
  std::unique_ptr<http_server> metrics_server_;
};

}  // namespace wagtail::leased
