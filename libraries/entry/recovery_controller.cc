#include "entry/recovery_controller.h"

#include <utility>

namespace wagtail {

namespace {

constexpr duration kQueryTimeout = std::chrono::seconds(1);
// Between two rounds of queries while tasks of the job still run.
constexpr duration kRequeryDelay = std::chrono::milliseconds(50);
// Failed queries after which a target counts as unreachable.
constexpr uint32_t kMaxFailedQueries = 5;

}  // namespace

struct recovery_controller::pending_recovery {
  recovery_request request;
  result_hook on_result;
  recovery decisions;
  size_t pending_queries = 0;
  std::map<target_incarnation, uint32_t> failed_queries = {};
};

recovery_controller::recovery_controller(event_loop& loop, fence_hook fence)
    : loop_(loop), fence_(std::move(fence)) {}

void recovery_controller::Recover(recovery_request request, result_hook on_result) {
  recovery decisions(request.digest, request.task_count, request.targets);
  auto pending = std::make_shared<pending_recovery>(
      pending_recovery{std::move(request), std::move(on_result), std::move(decisions)});
  QueryTargets(pending);
}

void recovery_controller::QueryTargets(const std::shared_ptr<pending_recovery>& pending) {
  std::vector<target_incarnation> targets = pending->decisions.TargetsToQuery();
  pending->pending_queries = targets.size();
  if (targets.empty()) {
    OnRoundComplete(pending);
    return;
  }
  for (const target_incarnation& target : targets) {
    QueryTarget(pending, target);
  }
}

void recovery_controller::QueryTarget(const std::shared_ptr<pending_recovery>& pending,
                                      const target_incarnation& target) {
  auto queried = kj::evalNow([this, &pending, &target] {
    return fence_(target, pending->request.key, pending->request.minted_uptime_ms);
  });
  auto bounded =
      loop_.timer().timeoutAfter(kQueryTimeout.count() * kj::MICROSECONDS, kj::mv(queried));
  auto answered = bounded.then(
      [pending, target](fence_report&& report) { pending->decisions.OnReport(target, report); },
      [pending, target](kj::Exception&& /*error*/) {
        if (++pending->failed_queries[target] >= kMaxFailedQueries) {
          pending->decisions.OnUnreachable(target);
        }
      });
  loop_.Detach(answered.then([this, pending] {
    if (--pending->pending_queries == 0) {
      OnRoundComplete(pending);
    }
  }));
}

void recovery_controller::OnRoundComplete(const std::shared_ptr<pending_recovery>& pending) {
  if (pending->decisions.has_different_body()) {
    pending->on_result({.different_body = true, .answer = {}});
    return;
  }
  if (std::optional<job_answer> answer = pending->decisions.FinalAnswer(); answer.has_value()) {
    pending->on_result({.answer = *std::move(answer)});
    return;
  }
  if (MonotonicNow() >= pending->request.deadline) {
    pending->on_result({.answer = pending->decisions.AnswerAtDeadline()});
    return;
  }
  loop_.After(kRequeryDelay, [this, pending] { QueryTargets(pending); });
}

}  // namespace wagtail
