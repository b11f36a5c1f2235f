#include "wagtail_load/load_runner.h"

#include <algorithm>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "base/layer_error.h"
#include "wagtail_load/job_id_pool.h"

namespace wagtail {

namespace {

/// How long before its time a job gets its id.
constexpr duration kIdLead = std::chrono::milliseconds(500);
/// Longest sleep between two looks at the stop flag.
constexpr duration kStopCheck = std::chrono::milliseconds(100);
constexpr int kChangeAttempts = 5;
constexpr duration kChangeRetryDelay = std::chrono::milliseconds(300);
constexpr size_t kMaxKeptAnswerBytes = 500;
constexpr double kMicrosecondsPerMillisecond = 1000;

/// One run with its threads.
class run_in_progress {
 public:
  run_in_progress(const load_scenario& plan, std::span<const planned_job> jobs,
                  const call_hook& call, const std::atomic<bool>& stop)
      : plan_(plan),
        jobs_(jobs),
        client_(plan, call),
        ids_(plan, client_),
        stop_(stop),
        // Time to start the threads and to fetch the first ids.
        start_(MonotonicNow() + 2 * kIdLead) {
    outcome_.records.resize(jobs.size());
  }

  run_outcome Run() {
    std::jthread operator_thread([this] { MakeChanges(); });
    std::vector<std::jthread> workers(std::min<size_t>(plan_.workers, jobs_.size()));
    std::ranges::generate(workers, [this] { return std::jthread([this] { Work(); }); });
    workers.clear();
    operator_thread.join();
    return std::move(outcome_);
  }

 private:
  duration Elapsed() const { return MonotonicNow() - start_; }

  /// @return whether the time came before the run was stopped
  bool SleepUntil(duration at) const {
    while (!stop_ && Elapsed() < at) {
      std::this_thread::sleep_for(std::min(kStopCheck, at - Elapsed()));
    }
    return !stop_;
  }

  void Work() {
    for (size_t i = next_++; i < jobs_.size(); i = next_++) {
      SendInTime(jobs_[i], outcome_.records[i]);
    }
  }

  void SendInTime(const planned_job& job, job_record& record) {
    if (!SleepUntil(job.at - kIdLead)) {
      record.reason = "tool: stopped";
      return;
    }
    absl::StatusOr<std::string> id = ids_.Take(job.entry);
    size_t entry = job.entry;
    if (!id.ok()) {
      entry = (entry + 1) % plan_.entries.size();
      id = ids_.Take(entry);
    }
    if (!SleepUntil(job.at)) {
      record.reason = "tool: stopped";
      return;
    }
    record.sent = Elapsed();
    if (id.ok()) {
      Send(job, entry, *id, record);
    } else {
      record.outcome = submission_outcome::kNotConnected;
      record.reason = "tool: no job id: " + MessageOf(id.status());
    }
    record.finished = Elapsed();
  }

  void Send(const planned_job& job, size_t entry, const std::string& id, job_record& record) {
    submission_answer second;
    std::jthread resubmission;
    if (job.resubmitted) {
      const std::string& other = plan_.entries[(entry + 1) % plan_.entries.size()];
      resubmission = std::jthread([&] { second = client_.Submit(other, id, job); });
    }
    submission_answer first = SubmitUntilAnswered(job, entry, id, record);
    record.outcome = first.outcome;
    record.reason = std::move(first.reason);
    if (job.resubmitted) {
      resubmission.join();
      bool both_complete = first.outcome == submission_outcome::kComplete &&
                           second.outcome == submission_outcome::kComplete;
      record.answers_differ = both_complete && first.body != second.body;
    }
  }

  submission_answer SubmitUntilAnswered(const planned_job& job, size_t entry, const std::string& id,
                                        job_record& record) const {
    submission_answer answer = client_.Submit(plan_.entries[entry], id, job);
    while (IsLost(answer) && record.resubmissions < plan_.resubmissions_when_lost && !stop_) {
      ++record.resubmissions;
      entry = (entry + 1) % plan_.entries.size();
      answer = client_.Submit(plan_.entries[entry], id, job);
    }
    return answer;
  }

  static bool IsLost(const submission_answer& answer) {
    return answer.outcome == submission_outcome::kNoAnswer ||
           answer.outcome == submission_outcome::kNotConnected;
  }

  void MakeChanges() {
    for (size_t i = 0; i < plan_.actions.size(); ++i) {
      if (!SleepUntil(plan_.actions[i].at)) {
        return;
      }
      outcome_.changes.push_back(Make(plan_.actions[i], absl::StrCat(ids_.run_id(), "-", i)));
    }
  }

  change_record Make(const operator_action& action, const std::string& change_id) const {
    change_record record{.kind = std::string(ToText(action.kind)),
                         .subject = action.subject,
                         .planned_ms = Milliseconds(action.at)};
    for (int attempt = 0; attempt < kChangeAttempts && record.status == 0 && !stop_; ++attempt) {
      if (attempt > 0) {
        std::this_thread::sleep_for(kChangeRetryDelay);
      }
      // Another entry each time, under the same id, so that a lost answer makes no second change.
      const std::string& entry = plan_.entries[static_cast<size_t>(attempt) % plan_.entries.size()];
      absl::StatusOr<http_response> answer = client_.Change(entry, change_id, action);
      record.status = answer.ok() ? answer->status : 0;
      record.answer = answer.ok() ? answer->body : MessageOf(answer.status());
    }
    record.answer.resize(std::min(record.answer.size(), kMaxKeptAnswerBytes));
    record.answered_ms = Milliseconds(Elapsed());
    return record;
  }

  static double Milliseconds(duration span) {
    return static_cast<double>(span.count()) / kMicrosecondsPerMillisecond;
  }

  const load_scenario& plan_;
  std::span<const planned_job> jobs_;
  entry_client client_;
  job_id_pool ids_;
  const std::atomic<bool>& stop_;
  instant start_;
  std::atomic<size_t> next_ = 0;
  run_outcome outcome_;  ///< each record is written by one worker, the changes by one thread
};

}  // namespace

run_outcome RunSchedule(const load_scenario& plan, std::span<const planned_job> jobs,
                        const call_hook& call, const std::atomic<bool>& stop) {
  return run_in_progress(plan, jobs, call, stop).Run();
}

}  // namespace wagtail
