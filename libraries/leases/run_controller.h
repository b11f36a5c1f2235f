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
#include "leases/run_events.h"
#include "leases/run_speed.h"
#include "leases/run_table.h"
#include "leases/target_clock.h"
#include "plan/operating_plan.h"

namespace wagtail::leased {

/// Limits of a run keeper.
struct run_controller_options {
  /// Length of the lease that everything on the target holds.
  duration lease = std::chrono::milliseconds(600);
  /// Longest lease that a target grants, whatever it is asked for.
  duration max_lease = std::chrono::milliseconds(1000);
  /// How long a renewal waits at the target for an end.
  duration renew_wait = std::chrono::milliseconds(150);
  /// The same while nothing runs; a start grants a lease of its own.
  duration idle_renew_wait = std::chrono::milliseconds(400);
  /// How long to wait for an answer to a start, and to a renewal past what it waits for an end. A
  /// target on the same VM answers in a few milliseconds; a start that is given up wrongly turns
  /// out to run and goes on.
  duration answer_limit = std::chrono::milliseconds(40);
  duration renew_answer_limit = std::chrono::milliseconds(100);
  /// After a call without an answer, renewals wait and are waited for only this long, so that ends
  /// are not missed for long when more answers are lost.
  duration careful_renew_wait = std::chrono::milliseconds(30);
  duration careful_time = std::chrono::seconds(2);
  /// How long an entry's answer to a report vouches for its runs, from when the report was sent.
  duration session_lease = std::chrono::milliseconds(450);
  /// A stop that is not confirmed is asked for again after this.
  duration stop_retry = std::chrono::milliseconds(80);
  /// Leases are no longer renewed once a stop has not been confirmed for this long.
  duration stop_timeout = std::chrono::milliseconds(120);
  /// How long an order waits for the end of an earlier run of its task.
  duration longest_wait = std::chrono::milliseconds(60);
  /// A run is overdue after this many times what was predicted, and the slack beside.
  double overdue_factor = 2;
  duration overdue_slack = std::chrono::milliseconds(50);
  /// The target stands still when so many runs, not all of one job, have become overdue since one
  /// ended.
  size_t overdue_to_stall = 3;
  /// Share of failed runs from which one overdue run is enough for that.
  double failing_limit = 0.5;
  /// A failed renewal is tried again after this.
  duration renew_retry = std::chrono::milliseconds(50);
  /// Renewals that fail one after the other before the target counts as unreachable.
  unsigned failures_to_absent = 2;
  /// First fence; must be higher than that of every earlier agent of this VM.
  uint64_t fence = 1;
};

/// Decides what one target runs: admits orders into its room, keeps the lease, makes late starts
/// void and tells what became of every order. Answers overload by giving back at once what does not
/// fit, so that its entry can send it to another target. Free of sockets, threads and clocks.
///
/// A run goes on only while the entry that ordered it vouches for it. A lease covers everything on
/// the target; it is not renewed while a run that should be gone may still be there.
class run_controller {
 public:
  using call_hook = std::function<void(target_call)>;
  using result_hook = std::function<void(run_result)>;
  using log_hook = std::function<void(const run_log_event&)>;

  /// @param call carries out a call to the target
  /// @param result takes the final word on an order
  /// @param note takes decisions for the log
  run_controller(run_controller_options options, call_hook call, result_hook result, log_hook note);

  /// The target announced itself, again or anew.
  void OnTargetAnnounced(const target_announcement& announcement, instant now);
  /// The target said that it ends.
  void OnTargetDeparted(const std::string& id, instant now);
  /// Operators' plan as it stands.
  void SetPlan(const operating_plan& plan, instant now);

  /// A new session of an entry that answered at once.
  void OnSessionOpened(session_id session, instant sent);
  /// The entry answered a report that was sent at `sent`.
  void OnReportAnswered(session_id session, instant sent);
  /// The session is over; its runs are stopped.
  void OnSessionClosed(session_id session, instant now);

  void Order(run_order order, instant now);
  /// The entry no longer wants this order carried out.
  void Withdraw(session_id session, uint64_t order, instant now);
  /// The process is about to end: nothing new is started, what runs goes on.
  void Drain(instant now);

  void OnStartAnswered(uint64_t serial, start_answer answer, std::optional<int64_t> clock_ms,
                       instant now);
  void OnRenewAnswered(uint64_t serial, const target_report& report, instant now);
  void OnRenewFailed(uint64_t serial, renew_failure failure, instant now);
  /// To be called every few milliseconds.
  void Tick(instant now);

  /// @return what entries are to know
  target_status Load() const;
  /// @return whether nothing that was ordered in a closed session can run any more
  bool Settled() const;
  /// @return whether orders of this session have no final word yet
  bool IsBusy(session_id session) const { return runs_.IsBusy(session); }
  /// @return orders without a final word
  size_t size() const { return runs_.size(); }
  /// @return whether the target is known, reachable and free of unknown runs
  bool Ready() const;

 private:
  struct life {
    explicit life(target_announcement first) : announced(std::move(first)) {}

    target_announcement announced;
    bool reached = false;     ///< answered a renewal with the present fence
    bool taken_over = false;  ///< nothing of earlier agents runs there
    unsigned failures = 0;
    uint64_t last_end = 0;
    instant last_result{};  ///< when a run was last seen to have ended by itself
  };

  void BeginLife(const target_announcement& announcement, instant now);
  void EndLife(std::string_view reason);
  void BeginLifeUnderSameId(const target_announcement& announcement, instant now);
  bool MayStart() const;
  bool StopOverdue(instant now) const;
  task_resources Free() const;

  void StartWhatFits(instant now);
  void Start(uint64_t serial, kept_run& entry, instant now);
  void Stop(uint64_t serial, kept_run& entry, std::string reason, instant now);
  void AskStop(uint64_t serial, kept_run& entry, instant now);
  void RefuseWaiting(instant now);
  void RetryStops(instant now);
  void RaiseFence(instant now);
  void Renew(duration wait, instant now);
  void RenewInTurn(instant now);
  std::optional<int64_t> NextLease(instant now);
  void TakeEnds(const target_report& report, instant now);
  void TakeRunning(uint64_t serial, uint64_t fence, const target_report& report, instant now);
  void CheckLapse(instant now);
  void AllowForOtherLife(instant now);
  void Expire(instant now);
  instant OverdueFrom(const kept_run& entry) const;
  /// @return serials of the overdue runs of a target that stands still; nothing of any other
  std::vector<uint64_t> Stalled(instant now) const;
  /// Gives back what a target that stands still holds, so that it starts elsewhere.
  void StopStalled(instant now);
  bool IsVouchedFor(session_id session, instant now) const;
  void Finish(uint64_t serial, run_outcome outcome, std::string reason, instant now);
  void EndSession(session_id session, const std::string& reason, instant now);
  void Note(std::string_view fact, const kept_run& about, std::string detail) const;

  run_controller_options options_;
  call_hook call_;
  result_hook result_;
  log_hook note_;

  std::optional<life> life_;
  std::string domain_;
  target_clock clock_;
  run_speed speed_;
  run_table runs_;
  std::map<session_id, instant> sessions_;  ///< until when each is vouched for
  std::set<std::string> leaving_domains_;
  uint64_t fence_;
  uint64_t next_serial_ = 1;
  /// Renewals without an answer, by serial: the fence they carried.
  std::map<uint64_t, uint64_t> renewals_;
  instant next_renewal_{};
  instant careful_until_{};
  std::optional<instant> lapse_by_;  ///< no lease that was given reaches past this
  bool leaving_ = false;
};

}  // namespace wagtail::leased
