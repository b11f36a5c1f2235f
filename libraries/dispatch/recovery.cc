#include "dispatch/recovery.h"

#include <algorithm>

#include "base/verify.h"

namespace wagtail {

namespace {

bool HasEnded(task_state state) {
  return state == task_state::kCompleted || state == task_state::kFailed;
}

}  // namespace

recovery::recovery(uint64_t digest, uint32_t task_count, const recovery_targets& targets)
    : digest_(digest), task_count_(task_count), records_lost_(targets.records_lost) {
  for (const target_incarnation& target : targets.present) {
    queries_[target] = query_state::kPending;
  }
}

void recovery::OnReport(const target_incarnation& target, const fence_report& report) {
  auto query = queries_.find(target);
  if (query == queries_.end()) {
    return;
  }
  query->second = query_state::kAnswered;
  records_lost_ = records_lost_ || report.forgotten;
  for (const task_record& record : report.started) {
    different_body_ = different_body_ || record.job_digest != digest_;
    auto [known, is_new] = started_.try_emplace(record.key.index, target, record);
    // A task started by two targets breaks the at-most-once guarantee.
    VERIFY(is_new || known->second.first == target);
    known->second.second = record;
  }
}

void recovery::OnUnreachable(const target_incarnation& target) {
  auto query = queries_.find(target);
  if (query != queries_.end()) {
    query->second = query_state::kUnreachable;
  }
}

std::vector<target_incarnation> recovery::TargetsToQuery() const {
  std::vector<target_incarnation> to_query;
  for (const auto& [target, query] : queries_) {
    query_state state = query;
    bool still_runs = std::ranges::any_of(started_, [&, target = target](const auto& task) {
      const auto& [started_on, record] = task.second;
      return started_on == target && !HasEnded(record.state) && state != query_state::kUnreachable;
    });
    if (state == query_state::kPending || still_runs) {
      to_query.push_back(target);
    }
  }
  return to_query;
}

bool recovery::HasRunning() const {
  return std::ranges::any_of(started_, [this](const auto& task) {
    const auto& [target, record] = task.second;
    return !HasEnded(record.state) && queries_.at(target) != query_state::kUnreachable;
  });
}

std::optional<job_answer> recovery::FinalAnswer() const {
  bool has_failed = std::ranges::any_of(
      started_, [](const auto& task) { return task.second.second.state == task_state::kFailed; });
  bool has_pending = std::ranges::any_of(
      queries_, [](const auto& query) { return query.second == query_state::kPending; });
  bool all_started = started_.size() == task_count_;
  if (!has_failed && HasRunning()) {
    return std::nullopt;
  }
  if (!has_failed && has_pending && !all_started) {
    return std::nullopt;
  }
  return MakeAnswer();
}

job_answer recovery::AnswerAtDeadline() const { return MakeAnswer(); }

job_answer recovery::MakeAnswer() const {
  if (std::optional<job_answer> complete = CompleteAnswer(); complete.has_value()) {
    return *complete;
  }
  job_answer answer{.reason = "owner_lost", .results = {}};
  answer.started = static_cast<uint32_t>(started_.size());
  bool all_answered = std::ranges::all_of(
      queries_, [](const auto& query) { return query.second == query_state::kAnswered; });
  bool proven_not_run = all_answered && started_.empty() && !records_lost_;
  answer.outcome = proven_not_run ? job_outcome::kFailedNotRun : job_outcome::kFailedMayHaveRun;
  return answer;
}

std::optional<job_answer> recovery::CompleteAnswer() const {
  bool is_complete =
      started_.size() == task_count_ && std::ranges::all_of(started_, [](const auto& task) {
        const task_record& record = task.second.second;
        return record.state == task_state::kCompleted && record.body.has_value();
      });
  if (!is_complete) {
    return std::nullopt;
  }
  job_answer answer{.outcome = job_outcome::kComplete, .reason = "", .results = {}};
  answer.started = task_count_;
  for (const auto& [index, task] : started_) {
    const auto& [target, record] = task;
    answer.results.push_back({.index = index, .target = target.target, .body = *record.body});
  }
  return answer;
}

}  // namespace wagtail
