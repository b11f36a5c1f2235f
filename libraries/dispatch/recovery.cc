#include "dispatch/recovery.h"

#include <algorithm>

#include "base/verify.h"

namespace wagtail {

namespace {

bool IsOver(task_state state) {
  return state == task_state::kCompleted || state == task_state::kFailed;
}

}  // namespace

recovery::recovery(uint64_t digest, uint32_t task_count, const recovery_targets& places)
    : digest_(digest), task_count_(task_count), records_lost_(places.records_lost) {
  for (const target_incarnation& target : places.present) {
    places_[target] = place_state::kUnasked;
  }
}

void recovery::OnReport(const target_incarnation& target, const fence_report& report) {
  auto place = places_.find(target);
  if (place == places_.end()) {
    return;
  }
  place->second = place_state::kAnswered;
  records_lost_ = records_lost_ || report.forgotten;
  for (const task_record& record : report.started) {
    different_body_ = different_body_ || record.job_digest != digest_;
    auto [known, is_new] = started_.try_emplace(record.key.index, target, record);
    // Two targets that both started a task would be the doubled start this system exists to avoid.
    VERIFY(is_new || known->second.first == target);
    known->second.second = record;
  }
}

void recovery::OnUnreachable(const target_incarnation& target) {
  auto place = places_.find(target);
  if (place != places_.end()) {
    place->second = place_state::kUnreachable;
  }
}

std::vector<target_incarnation> recovery::TargetsToQuery() const {
  std::vector<target_incarnation> asked;
  for (const auto& [target, place] : places_) {
    place_state state = place;
    bool still_runs = std::ranges::any_of(started_, [&, target = target](const auto& task) {
      const auto& [where, record] = task.second;
      return where == target && !IsOver(record.state) && state != place_state::kUnreachable;
    });
    if (state == place_state::kUnasked || still_runs) {
      asked.push_back(target);
    }
  }
  return asked;
}

bool recovery::HasRunning() const {
  return std::ranges::any_of(started_, [this](const auto& task) {
    const auto& [target, record] = task.second;
    return !IsOver(record.state) && places_.at(target) != place_state::kUnreachable;
  });
}

std::optional<job_answer> recovery::FinalAnswer() const {
  bool has_failed = std::ranges::any_of(
      started_, [](const auto& task) { return task.second.second.state == task_state::kFailed; });
  bool is_unasked = std::ranges::any_of(
      places_, [](const auto& place) { return place.second == place_state::kUnasked; });
  bool all_started = started_.size() == task_count_;
  if (!has_failed && HasRunning()) {
    return std::nullopt;
  }
  if (!has_failed && is_unasked && !all_started) {
    return std::nullopt;
  }
  return Judge();
}

job_answer recovery::AnswerAtDeadline() const { return Judge(); }

job_answer recovery::Judge() const {
  if (std::optional<job_answer> whole = Gather(); whole.has_value()) {
    return *whole;
  }
  job_answer answer{.reason = "owner_lost", .results = {}};
  answer.started = static_cast<uint32_t>(started_.size());
  bool all_answered = std::ranges::all_of(
      places_, [](const auto& place) { return place.second == place_state::kAnswered; });
  bool proven_idle = all_answered && started_.empty() && !records_lost_;
  answer.outcome = proven_idle ? job_outcome::kFailedNotRun : job_outcome::kFailedMayHaveRun;
  return answer;
}

std::optional<job_answer> recovery::Gather() const {
  bool is_whole =
      started_.size() == task_count_ && std::ranges::all_of(started_, [](const auto& task) {
        const task_record& record = task.second.second;
        return record.state == task_state::kCompleted && record.body.has_value();
      });
  if (!is_whole) {
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
