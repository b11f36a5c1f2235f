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
#include "platform/node_settings.h"
#include "platform/store_client.h"
#include "platform/target_calls.h"
#include "rpc/event_loop.h"
#include "session/entry_links.h"
#include "table/table_follower.h"

namespace wagtail::leased {

/// The agent of one target: connects the decisions of a run_controller with the target beside it,
/// the entries and the platform's store.
class agent_service {
 public:
  explicit agent_service(const platform::node_settings& settings);
  ~agent_service();

  absl::Status Start();
  void Reload(const platform::node_settings& settings);
  /// Lets what runs end, for `limit` at most.
  void Stop(duration limit);

 private:
  http_response AnswerControl(const http_request& request);
  void MakeController();
  void MakeLinks();
  void FollowStore();
  void LoadTarget();
  void TakeAnnouncement(const target_announcement& heard);
  void Tick();
  void TakePlan(operating_plan plan);
  void TakeResult(const run_result& result);
  void Changed();

  platform::node_settings settings_;
  metrics_registry metrics_;
  family<counter>* results_;
  family<histogram>* run_seconds_;
  event_loop loop_;
  // What follows is used on the loop's thread only.
  newest_plan plan_;
  std::unique_ptr<platform::target_calls> calls_;
  std::unique_ptr<run_controller> controller_;
  std::unique_ptr<entry_links> links_;
  std::unique_ptr<platform::store_client> store_;
  std::unique_ptr<table_follower> plan_follower_;
  std::unique_ptr<table_follower> fleet_follower_;
  std::optional<target_announcement> announced_;  ///< the last that said something new
  bool flush_posted_ = false;
  // Threads of their own; ended first.
  std::unique_ptr<http_server> control_server_;
  std::unique_ptr<http_server> metrics_server_;
};

}  // namespace wagtail::leased
