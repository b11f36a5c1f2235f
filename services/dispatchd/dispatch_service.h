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
#include "platform/http_listeners.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"
#include "rpc/connection_listener.h"
#include "rpc/event_loop.h"
#include "scheduler/entry_rotation.h"
#include "scheduler/job_scheduler.h"
#include "scheduler/loop_backlog.h"
#include "services/dispatchd/first_plan_gate.h"
#include "services/dispatchd/front_filters.h"
#include "services/dispatchd/job_memory.h"
#include "services/dispatchd/jobs_in_progress.h"
#include "services/dispatchd/load_monitor.h"
#include "services/dispatchd/overload_metrics.h"
#include "services/dispatchd/pending_answer.h"
#include "session/agent_sessions.h"
#include "snapshot/snapshot_cell.h"
#include "table/table_follower.h"

namespace wagtail::leased {

/// Daemon of one entry: connects the job scheduler with callers, agents and the platform's store.
class dispatch_service {
 public:
  explicit dispatch_service(const platform::node_settings& settings);
  ~dispatch_service();

  absl::Status Start();
  void Reload(const platform::node_settings& settings);
  /// Drains the entry: serves callers until the load balancer has taken it out of rotation and they
  /// have gone to other entries, and refuses the jobs that would outlast it.
  /// @param limit maximum duration of the drain; jobs that run longer are answered as abandoned
  void Stop(duration limit);

 private:
  struct request_times {
    instant arrived{};
    duration deadline{0};
    duration queued{0};  ///< time before its admission
  };
  /// A request that has not reached the scheduler yet.
  struct arrival {
    request_serial serial = 0;
    instant arrived{};
    int socket = -1;  ///< of the caller's connection
    job_submission submission{};
    std::shared_ptr<pending_answer> pending{};
  };

  absl::Status ListenForAgents();
  void MakeScheduler();
  void MakeSessions();
  void FollowStore();
  void Tick();
  void UpdateRotation(instant now);
  /// @return whether the caller's connection is to be closed after the current answer
  bool ShouldCloseConnection();
  /// @param source "read" or "poll" of the store, or the agent that sent the plan
  void ApplyPlan(operating_plan plan, std::string_view source);
  void ScheduleTurn();
  void OnEntryReported(const std::string& entry);
  std::vector<std::string> KnownEntries() const;

  front_hooks FrontHooks();
  http_response AnswerCaller(const http_request& request);
  /// Decodes a job within the limits on memory.
  absl::StatusOr<platform::job_body> DecodeJob(std::string_view body);
  bool HasPlan() const;
  /// @return the largest body that callers may send
  size_t MaxBodyBytes() const;
  std::optional<duration> AwaitPlan(duration deadline);
  http_response Submit(front_request& request);
  void AdmitArrivals();
  http_response Cancel(const front_request& request);
  http_response JobState(const front_request& request);
  http_response AnswerReadiness() const;
  void RecordAnswer(const front_request& request, const job_answer& answer,
                    const request_times& times);

  platform::node_settings settings_;
  metrics_registry metrics_;
  platform::http_listeners listeners_;
  job_memory job_memory_;
  jobs_in_progress jobs_in_progress_;
  family<counter>* answers_;
  family<histogram>* answer_seconds_;
  snapshot_cell<operating_plan> shared_plan_;  ///< read by the connection threads
  instant started_ = BootTimeNow();
  first_plan_gate first_plan_gate_;
  std::atomic<bool> refusing_jobs_ = false;        ///< new jobs are refused
  std::atomic<bool> draining_ = false;             ///< the process was asked to stop
  std::atomic<bool> closing_connections_ = false;  ///< close each after its next answer
  std::atomic<size_t> requests_in_progress_ = 0;   ///< of callers
  std::atomic<instant> last_request_{};            ///< when a caller was last answered
  std::atomic<size_t> targets_in_use_ = 0;
  std::atomic<request_serial> next_serial_ = 1;
  std::atomic<uint64_t> refused_busy_ = 0;  ///< requests refused because of the loop's backlog
  loop_backlog backlog_{{}};
  std::atomic<bool> out_of_rotation_ = false;
  std::atomic<unsigned> answers_out_of_rotation_ = 0;  ///< answers sent while out of rotation
  std::vector<front_filter> filters_;
  event_loop loop_;
  // The following members are used only on the loop's thread.
  load_monitor load_monitor_{metrics_, BootTimeNow()};
  overload_metrics overload_metrics_{metrics_};
  instant next_tick_{};  ///< when the timer is due next
  newest_plan plan_;
  instant store_answered_{};  ///< when the store last answered about the plan
  std::unique_ptr<job_scheduler> scheduler_;
  std::unique_ptr<agent_sessions> sessions_;
  std::unique_ptr<connection_listener> agent_listener_;
  std::unique_ptr<platform::store_client> store_;
  std::unique_ptr<table_follower> plan_follower_;
  entry_rotation rotation_{{}};
  std::vector<arrival> arrivals_;
  std::unordered_map<request_serial, std::shared_ptr<pending_answer>> pending_answers_;
  std::map<std::string, instant> entries_;    ///< when an agent last reported each entry
  std::vector<std::string> known_entries_{};  ///< entries that have not expired
  bool turn_posted_ = false;
  // Servers with their own threads; destroyed first.
  std::unique_ptr<http_server> front_server_;
  std::unique_ptr<http_server> ready_server_;
  std::unique_ptr<http_server> control_server_;
  std::unique_ptr<http_server> metrics_server_;
};

}  // namespace wagtail::leased
