#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "http/http_server.h"
#include "metrics/metrics_registry.h"
#include "plan/newest_plan.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"
#include "rpc/connection_listener.h"
#include "rpc/event_loop.h"
#include "scheduler/entry_rotation.h"
#include "scheduler/job_scheduler.h"
#include "scheduler/loop_backlog.h"
#include "services/dispatchd/first_plan_gate.h"
#include "services/dispatchd/front_filters.h"
#include "services/dispatchd/load_monitor.h"
#include "services/dispatchd/pending_answer.h"
#include "session/agent_sessions.h"
#include "snapshot/snapshot_cell.h"
#include "table/table_follower.h"

namespace wagtail::leased {

/// One entry: connects the decisions of a job_scheduler with callers, agents and the platform's
/// store.
class dispatch_service {
 public:
  explicit dispatch_service(const platform::node_settings& settings);
  ~dispatch_service();

  absl::Status Start();
  void Reload(const platform::node_settings& settings);
  /// Takes no new work after a while, lets jobs end, for `limit` at most.
  void Stop(duration limit);

 private:
  struct request_times {
    instant arrived{};
    duration deadline{0};
    duration queued{0};  ///< before its admission
  };
  /// A request on its way to the board.
  struct arrival {
    request_serial serial = 0;
    instant arrived{};
    int socket = -1;  ///< of the caller's connection
    job_submission submission{};
    std::shared_ptr<pending_answer> wait{};
  };

  absl::Status ListenForAgents();
  void MakeBoard();
  void MakeSessions();
  void FollowStore();
  void Tick();
  void KeepRotation(instant now);
  /// @return whether the answer that is about to leave ends its caller's connection
  bool ClosesConnection();
  void TakePlan(operating_plan plan);
  void Changed();
  void HeardOf(const std::string& entry);
  std::vector<std::string> KnownEntries() const;

  front_hooks FrontHooks();
  bool HasPlan() const;
  std::optional<duration> AwaitPlan(duration deadline);
  http_response Submit(front_request& request);
  void AdmitArrivals();
  http_response Cancel(const front_request& request);
  http_response State(const front_request& request);
  http_response AnswerReady() const;
  void CountAnswer(const front_request& request, const job_answer& answer,
                   const request_times& times);

  platform::node_settings settings_;
  metrics_registry metrics_;
  family<counter>* answers_;
  family<histogram>* answer_seconds_;
  snapshot_cell<operating_plan> shared_plan_;  ///< read by the threads of connections
  instant started_ = BootTimeNow();
  first_plan_gate first_plan_;
  std::atomic<bool> refusing_ = false;  ///< no new work is taken
  std::atomic<bool> leaving_ = false;   ///< the process has been asked to stop
  std::atomic<bool> closing_ = false;   ///< connections are closed after their next answer
  std::atomic<size_t> targets_in_use_ = 0;
  std::atomic<request_serial> next_serial_ = 1;
  std::atomic<uint64_t> refused_busy_ = 0;  ///< requests refused for the loop's backlog
  loop_backlog backlog_{{}};
  std::atomic<bool> out_of_rotation_ = false;
  std::atomic<unsigned> answers_out_ = 0;  ///< given while out of the rotation
  std::vector<front_filter> filters_;
  event_loop loop_;
  // What follows is used on the loop's thread only.
  load_monitor load_monitor_{metrics_, BootTimeNow()};
  instant next_tick_{};  ///< when the timer was due
  newest_plan plan_;
  std::unique_ptr<job_scheduler> board_;
  std::unique_ptr<agent_sessions> sessions_;
  std::unique_ptr<connection_listener> agent_listener_;
  std::unique_ptr<platform::store_client> store_;
  std::unique_ptr<table_follower> plan_follower_;
  entry_rotation rotation_{{}};
  std::vector<arrival> arrivals_;
  std::unordered_map<request_serial, std::shared_ptr<pending_answer>> waiting_;
  std::map<std::string, instant> entries_;    ///< when an agent last named each
  std::vector<std::string> known_entries_{};  ///< those that were named not long ago
  bool turn_posted_ = false;
  // Threads of their own; ended first.
  std::unique_ptr<http_server> front_server_;
  std::unique_ptr<http_server> ready_server_;
  std::unique_ptr<http_server> control_server_;
  std::unique_ptr<http_server> metrics_server_;
};

}  // namespace wagtail::leased
