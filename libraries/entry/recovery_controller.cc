#include "entry/recovery_controller.h"

#include <utility>

namespace wagtail {

namespace {

constexpr duration kAskTimeout = std::chrono::seconds(1);
// Between two rounds of questions while tasks of the job still run.
constexpr duration kAskAgainDelay = std::chrono::milliseconds(50);
// A place is taken for unreachable after so many failed questions.
constexpr uint32_t kMaxFailedAsks = 5;

}  // namespace

struct recovery_controller::run {
  recovery_request request;
  result_hook on_result;
  recovery decisions;
  size_t open_questions = 0;
  std::map<target_incarnation, uint32_t> failed_asks = {};
};

recovery_controller::recovery_controller(event_loop& loop, fence_hook fence)
    : loop_(loop), fence_(std::move(fence)) {}

void recovery_controller::Recover(recovery_request request, result_hook on_result) {
  recovery decisions(request.digest, request.task_count, request.places);
  auto started =
      std::make_shared<run>(run{std::move(request), std::move(on_result), std::move(decisions)});
  AskRound(started);
}

void recovery_controller::AskRound(const std::shared_ptr<run>& run) {
  std::vector<target_incarnation> places = run->decisions.TargetsToQuery();
  run->open_questions = places.size();
  if (places.empty()) {
    AfterRound(run);
    return;
  }
  for (const target_incarnation& target : places) {
    AskOne(run, target);
  }
}

void recovery_controller::AskOne(const std::shared_ptr<run>& run,
                                 const target_incarnation& target) {
  auto asked = kj::evalNow([this, &run, &target] {
    return fence_(target, run->request.key, run->request.minted_uptime_ms);
  });
  auto bounded = loop_.timer().timeoutAfter(kAskTimeout.count() * kj::MICROSECONDS, kj::mv(asked));
  auto answered = bounded.then(
      [run, target](fence_report&& report) { run->decisions.OnReport(target, report); },
      [run, target](kj::Exception&& /*error*/) {
        if (++run->failed_asks[target] >= kMaxFailedAsks) {
          run->decisions.OnUnreachable(target);
        }
      });
  loop_.Detach(answered.then([this, run] {
    if (--run->open_questions == 0) {
      AfterRound(run);
    }
  }));
}

void recovery_controller::AfterRound(const std::shared_ptr<run>& run) {
  if (run->decisions.has_different_body()) {
    run->on_result({.different_body = true, .answer = {}});
    return;
  }
  if (std::optional<job_answer> verdict = run->decisions.FinalAnswer(); verdict.has_value()) {
    run->on_result({.answer = *std::move(verdict)});
    return;
  }
  if (MonotonicNow() >= run->request.deadline) {
    run->on_result({.answer = run->decisions.AnswerAtDeadline()});
    return;
  }
  loop_.After(kAskAgainDelay, [this, run] { AskRound(run); });
}

}  // namespace wagtail
