#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "leases/answer_timeout.h"
#include "leases/run_events.h"
#include "leases/run_speed.h"
#include "leases/run_table.h"
#include "leases/target_clock.h"
#include "plan/operating_plan.h"

namespace wagtail::leased {

/// Timeouts and limits of a run controller.
struct run_controller_options {
  /// Length of the lease that covers all runs on the target.
  duration lease = std::chrono::milliseconds(600);
  /// Longest lease that a target grants, whatever it is asked for.
  duration max_lease = std::chrono::milliseconds(1000);
  /// How long the target holds a renewal until a run ends.
  duration renew_wait = std::chrono::milliseconds(150);
  /// The same while nothing runs; a start grants a lease of its own.
  duration idle_renew_wait = std::chrono::milliseconds(400);
  /// Timeout of a start, learnt from the target's answers. A start that timed out although it was
  /// carried out is later listed as running and continues.
  answer_timeout_options start_timeout{};
  /// Timeout of a renewal beyond the time for which the target holds it.
  duration renew_timeout = std::chrono::milliseconds(100);
  /// After a call without an answer, the target holds renewals only for `short_renew_wait`, and
  /// they time out as starts do, for the period `short_renew_period`. This bounds the
  /// delay of ends when more answers are lost.
  duration short_renew_wait = std::chrono::milliseconds(30);
  duration short_renew_period = std::chrono::seconds(2);
  /// Length of the lease that an entry's answer to a report grants to the runs of its session, from
  /// when the report was sent.
  duration session_lease = std::chrono::milliseconds(450);
  /// Interval at which an unconfirmed stop is sent again.
  duration stop_retry = std::chrono::milliseconds(80);
  /// Leases are no longer renewed once a stop has not been confirmed for this long.
  duration stop_timeout = std::chrono::milliseconds(120);
  /// How long an order waits for the end of an earlier run of its task.
  duration max_order_wait = std::chrono::milliseconds(60);
  /// A run is overdue after its predicted duration times this factor, plus the slack.
  double overdue_factor = 2;
  duration overdue_slack = std::chrono::milliseconds(50);
  /// The target counts as stalled when the first runs of this many tasks, not all of one job, have
  /// become overdue since the last run ended.
  size_t overdue_to_stall = 3;
  /// Share of failed runs from which a single overdue run suffices to count as stalled.
  double failing_limit = 0.5;
  /// A failed renewal is tried again after this.
  duration renew_retry = std::chrono::milliseconds(50);
  /// The target counts as unreachable after this many failed renewals in a row, if it has answered
  /// no call at all for `unreachable_after`: a target that loses single answers goes on to serve.
  unsigned failures_to_unreachable = 2;
  duration unreachable_after = std::chrono::milliseconds(100);
  /// A run that began at most this long before its target crashed is suspected to be the cause.
  duration suspect_age = std::chrono::milliseconds(50);
  /// First fence; must be higher than that of every earlier agent of this VM.
  uint64_t fence = 1;
};

/// State machine that decides what one target runs: admits orders while resources are free, renews
/// the lease, fences off late starts and reports the result of every order. Handles overload by
/// refusing at once an order that does not fit, so that its entry can send it to another target.
/// Uses no sockets, threads or clocks.
///
/// A run continues only while the session of its entry holds a session lease. One target lease
/// covers all runs on the target; it is not renewed while a run that should have stopped may still
/// be running.
class run_controller {
 public:
  using call_hook = std::function<void(target_call)>;
  using result_hook = std::function<void(run_result)>;
  using log_hook = std::function<void(const run_log_event&)>;

  /// @param call sends a call to the target
  /// @param result receives the final result of each order
  /// @param log receives log events
  run_controller(run_controller_options options, call_hook call, result_hook result, log_hook log);

  /// Handles an announcement of the target, whether repeated or the first of an incarnation. One
  /// that would replace a target in use takes effect once the target has answered under its id.
  void OnTargetAnnounced(const target_announcement& announcement, instant now);
  /// Handles the notice of a target that it terminates. Its runs end with it: they are stopped, and
  /// reported once their end is known.
  void OnTargetDeparted(const target_departure& departure, instant now);
  /// Sets the operators' current plan.
  void SetPlan(const operating_plan& plan, instant now);

  /// Handles a new session with an entry.
  /// @param sent when the agent sent its request; the session lease counts from then
  void OnSessionOpened(session_id session, instant sent);
  /// Renews the session lease: the entry answered a report that was sent at `sent`.
  void OnReportAnswered(session_id session, instant sent);
  /// The session is over; its runs are stopped.
  void OnSessionClosed(session_id session, instant now);

  void Order(run_order order, instant now);
  /// Cancels an order on request of its entry.
  void Withdraw(session_id session, uint64_t order, instant now);
  /// Stops starting runs, since the process is about to end; current runs continue.
  void Drain(instant now);

  void OnStartAnswered(uint64_t serial, start_answer answer, std::optional<int64_t> clock_ms,
                       instant now);
  void OnRenewAnswered(uint64_t serial, const target_report& report, instant now);
  void OnRenewFailed(uint64_t serial, renew_failure failure, instant now);
  /// To be called every few milliseconds.
  void Tick(instant now);

  /// @return the state to report to entries
  target_status Load() const;
  /// @return the announcement of the target in use, or null if there is none
  const target_announcement* Announced() const;
  /// @return whether the incarnation that this announcement describes is the one in use
  bool IsInUse(const target_announcement& announcement) const;
  /// @return whether no order of a closed session can still be running
  bool Settled() const;
  /// @return whether this session has orders without a final result
  bool IsBusy(session_id session) const { return runs_.IsBusy(session); }
  /// @return number of orders without a final result
  size_t size() const { return runs_.size(); }
  /// @return whether the target is known, reachable and free of unknown runs
  bool Ready() const;

 private:
  struct incarnation {
    explicit incarnation(target_announcement first) : announced(std::move(first)) {}

    target_announcement announced;
    bool reachable = false;   ///< answers renewals; cleared when unreachable, lapsed or replaced
    bool taken_over = false;  ///< no runs of earlier agents are left on it
    bool departed = false;    ///< has given notice that it terminates
    unsigned failures = 0;    ///< failed renewals in a row
    instant last_answer{};    ///< when any call was last answered
    uint64_t last_end = 0;
    instant last_result{};  ///< when a run was last reported as done or failed
  };

  /// Another incarnation that was announced while the present one is in use. Announcements may be
  /// late or of another writer; only one process listens at an address, so the target's answer
  /// under the announced id shows that the present one has ended.
  struct successor {
    target_announcement announced;
    std::optional<uint64_t> probe{};  ///< serial of the renewal without an answer
    instant next_probe{};
  };

  bool IsOutdated(const target_announcement& announcement) const;
  /// @return whether the target in use has answered, and is said to have started after this one
  bool BeganEarlier(const target_announcement& announcement) const;
  /// @return whether the target in use answers and has not given notice
  bool Serves() const;
  void Adopt(const target_announcement& announcement, instant now);
  void OnSuccessorAnnounced(const target_announcement& announcement, instant now);
  void ProbeSuccessor(instant now);
  bool IsProbe(uint64_t serial) const;
  void OnProbeAnswered(const target_report& report, instant now);
  void OnProbeFailed(renew_failure failure);
  void RejectSuccessor();
  void ReplaceIncarnation(const target_announcement& announcement, instant now);
  void BeginIncarnation(const target_announcement& announcement, instant now);
  void EndIncarnation(std::string_view reason);
  /// Forgets a target that has given notice, once nothing can run on it any more.
  void ForgetDeparted();
  void BeginIncarnationUnderSameId(const target_announcement& announcement, instant now);
  bool MayStart() const;
  /// @return whether a start beyond the target's capacity can do no harm
  bool IsCapacityCurrentOrGuarded() const;
  bool StopOverdue(instant now) const;
  /// @return capacity of the target; nothing while none is known
  task_resources Capacity() const;
  task_resources Free() const;

  void StartFittingOrders(instant now);
  void Start(uint64_t serial, tracked_run& run, instant now);
  void Stop(uint64_t serial, tracked_run& run, std::string reason, instant now);
  void SendStop(uint64_t serial, tracked_run& run, instant now);
  void RefuseUnstartable(instant now);
  void RetryStops(instant now);
  void RaiseFence(instant now);
  void Renew(duration wait, instant now);
  void RenewNext(instant now);
  std::optional<int64_t> NextLease(instant now);
  void ProcessEnds(const target_report& report, instant now);
  void ReconcileRuns(uint64_t serial, uint64_t fence, const target_report& report, instant now);
  void OnNoListener(instant now);
  /// @return the part of a run in the crash of the target, if it has crashed
  crash_role RoleOf(const tracked_run& run) const;
  void CheckLapse(instant now);
  void AllowForOtherIncarnation(instant now);
  void Expire(instant now);
  /// @return serials of the overdue runs if the target is stalled, otherwise none
  std::vector<uint64_t> StalledRuns(instant now) const;
  /// Stops the overdue runs of a stalled target, so that they are started elsewhere.
  void StopStalled(instant now);
  bool HasSessionLease(session_id session, instant now) const;
  void Finish(uint64_t serial, run_outcome outcome, std::string reason, instant now);
  void EndSession(session_id session, const std::string& reason, instant now);
  void LogRunEvent(std::string_view fact, const tracked_run& about, std::string detail) const;

  run_controller_options options_;
  call_hook call_;
  result_hook result_;
  log_hook log_;

  std::optional<incarnation> incarnation_;
  std::optional<successor> successor_;
  std::optional<target_announcement> departed_;  ///< last of the latest target that gave notice
  std::string domain_;
  target_clock clock_;
  run_speed speed_;
  answer_timeout start_timeout_;
  run_table runs_;
  std::map<session_id, instant> sessions_;  ///< end of the session lease of each
  std::set<std::string> leaving_domains_;
  std::set<std::string> guarded_services_;  ///< whose targets refuse what exceeds their capacity
  uint64_t fence_;
  uint64_t next_serial_ = 1;
  /// Renewals without an answer, by serial: the fence they carried.
  std::map<uint64_t, uint64_t> renewals_;
  /// Since when the target refuses connections: its process has ended.
  std::optional<instant> refuses_since_;
  instant next_renewal_{};
  instant short_renewals_until_{};
  std::optional<instant> latest_lease_end_;  ///< no lease that was granted lasts longer than this
  bool leaving_ = false;
};

}  // namespace wagtail::leased
