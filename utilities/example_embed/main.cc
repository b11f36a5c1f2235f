#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <variant>

#include "dispatch/dispatcher.h"
#include "ledger/start_ledger.h"
#include "placement/placement_options.h"

/// @file
/// Embeds placement, dispatcher and start ledger without daemons, sockets or threads: drives one
/// job to its answer on virtual time, submits it a second time, and shows that nothing starts
/// twice.

namespace {

using wagtail::duration;
using wagtail::instant;

constexpr uint64_t kRegistryRevision = 1;

/// What happens later, in the order of virtual time.
class event_queue {
 public:
  instant now() const { return now_; }
  void At(instant when, std::function<void()> what) {
    events_.push({.at = when, .number = next_number_++, .what = std::move(what)});
  }
  /// @return false when nothing is left to happen
  bool RunNext() {
    if (events_.empty()) {
      return false;
    }
    event next = events_.top();
    events_.pop();
    now_ = std::max(now_, next.at);
    next.what();
    return true;
  }

 private:
  struct event {
    instant at;
    uint64_t number;  // keeps events of the same instant in order
    std::function<void()> what;
    bool operator<(const event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  instant now_{std::chrono::hours(1)};
  uint64_t next_number_ = 0;
  std::priority_queue<event> events_;
};

/// One target with the ledger that a daemon would keep beside it.
struct embedded_target {
  wagtail::target_profile profile;
  duration run_time;
  wagtail::start_ledger ledger;

  wagtail::target_load Load() const {
    return {.running = ledger.running(), .queued = ledger.queued()};
  }
};

/// The dispatcher and its targets in one process.
class embedded_system {
 public:
  embedded_system() : dispatcher_({}, wagtail::MakePlacement({})) {}

  void AddTarget(const std::string& name, const std::string& service, duration run_time) {
    wagtail::target_profile profile{.incarnation = {.target = name, .number = 1},
                                    .service = service,
                                    .failure_domain = "domain-1",
                                    .slots = 2,
                                    .accelerator = ""};
    wagtail::start_ledger_options options{.self = profile.incarnation,
                                          .announced_revision = kRegistryRevision,
                                          .slots = profile.slots};
    // An embedder that takes targets out of work asks its own rule here, or a wagtail::start_gate.
    auto gate = [](instant /*now*/) { return wagtail::refusal::kNone; };
    targets_.emplace(name, embedded_target{.profile = profile,
                                           .run_time = run_time,
                                           .ledger = wagtail::start_ledger(options, gate)});
    dispatcher_.AddTarget(profile, kRegistryRevision, events_.now());
    dispatcher_.SetAdmitted(profile.incarnation, true, events_.now());
  }

  void Submit(wagtail::job_submission submission, const wagtail::answer_hook& hook) {
    submission.deadline = events_.now() + std::chrono::seconds(30);
    dispatcher_.Submit(std::move(submission), hook, UptimeMs(), events_.now());
    CarryOut();
  }

  /// Runs until nothing is left to happen.
  void Run() {
    while (events_.RunNext()) {
    }
  }

  uint64_t starts() const {
    uint64_t sum = 0;
    for (const auto& [name, target] : targets_) {
      sum += target.ledger.counters().started;
    }
    return sum;
  }
  int64_t elapsed_ms() const { return wagtail::ToMilliseconds(events_.now() - began_); }

 private:
  uint64_t UptimeMs() const { return static_cast<uint64_t>(elapsed_ms()); }

  void CarryOut() {
    for (auto actions = dispatcher_.TakeActions(); !actions.empty();
         actions = dispatcher_.TakeActions()) {
      for (wagtail::dispatch_action& action : actions) {
        std::visit([this](auto& decided) { Do(decided); }, action);
      }
    }
    bool has_work = dispatcher_.jobs_in_progress() > 0;
    if (auto wake = dispatcher_.NextWake(events_.now()); wake.has_value() && has_work) {
      events_.At(*wake, [this] {
        dispatcher_.Tick(UptimeMs(), events_.now());
        CarryOut();
      });
    }
  }

  void Do(wagtail::start_action& start) {
    embedded_target& target = targets_.at(start.target.target);
    wagtail::task_key key = start.request.key;
    auto reason = target.ledger.Accept(std::move(start.request), UptimeMs(), events_.now());
    if (reason != wagtail::refusal::kNone) {
      dispatcher_.OnVerdict(start.target, key, reason, target.Load(), events_.now());
    }
    StartQueued(target);
  }

  void Do(wagtail::withdraw_action& withdraw) {
    embedded_target& target = targets_.at(withdraw.target.target);
    auto records = target.ledger.Settle({&withdraw.request, 1}, wagtail::queued_tasks::kWithdraw,
                                        events_.now());
    dispatcher_.OnSettled(withdraw.target, records.front(), events_.now());
  }

  static void Do(wagtail::answer_action& answer) {
    for (const wagtail::answer_hook& hook : answer.waiting) {
      hook(answer.answer);
    }
  }

  void StartQueued(embedded_target& target) {
    while (auto next = target.ledger.TakeNext(events_.now())) {
      wagtail::task_key key = next->request.key;
      if (next->reason != wagtail::refusal::kNone) {
        dispatcher_.OnVerdict(target.profile.incarnation, key, next->reason, target.Load(),
                              events_.now());
        continue;
      }
      std::printf("%4lld ms  task %u starts on %s\n", static_cast<long long>(elapsed_ms()),
                  key.index, target.profile.incarnation.target.c_str());
      wagtail::task_result result{.key = key,
                                  .completed = true,
                                  .body = "done: " + next->request.body,
                                  .run_time = target.run_time};
      events_.At(events_.now() + target.run_time, [this, &target, result] {
        target.ledger.Finish(result, events_.now());
        dispatcher_.OnResult(target.profile.incarnation, result, target.Load(), events_.now());
        StartQueued(target);
        CarryOut();
      });
    }
  }

  event_queue events_;
  instant began_ = events_.now();
  wagtail::dispatcher dispatcher_;
  std::map<std::string, embedded_target> targets_;  // its elements stay where they are
};

wagtail::job_submission SampleJob() {
  wagtail::job_submission job;
  job.key = {.owner = {.nonce = 1}, .sequence = 1};
  job.team = "apiary";
  job.digest = wagtail::DigestOf("sample job");
  job.registry_revision = kRegistryRevision;
  duration timeout = std::chrono::seconds(10);
  for (const char* hive : {"hive 4", "hive 7"}) {
    job.tasks.push_back({.service = "hive-health", .body = hive, .stage = 0, .timeout = timeout});
  }
  job.tasks.push_back(
      {.service = "collector", .body = "send collector", .stage = 1, .timeout = timeout});
  job.needs = {{.service = "hive-health", .requirements = {}},
               {.service = "collector", .requirements = {}}};
  return job;
}

void PrintAnswer(const char* caller, const wagtail::job_answer& answer) {
  std::printf("%s: %s, %zu results\n", caller,
              std::string(wagtail::ToString(answer.outcome)).c_str(), answer.results.size());
  for (const wagtail::task_answer& task : answer.results) {
    std::printf("  task %u on %s: %s\n", task.index, task.target.c_str(), task.body.c_str());
  }
}

}  // namespace

int main() {
  embedded_system system;
  system.AddTarget("lookup-1", "hive-health", std::chrono::milliseconds(40));
  system.AddTarget("lookup-2", "hive-health", std::chrono::milliseconds(120));
  system.AddTarget("field-1", "collector", std::chrono::milliseconds(200));
  size_t complete = 0;
  auto submit = [&](const char* caller) {
    system.Submit(SampleJob(), [&complete, caller](const wagtail::job_answer& answer) {
      PrintAnswer(caller, answer);
      complete += answer.outcome == wagtail::job_outcome::kComplete ? 1 : 0;
    });
  };
  submit("first caller");
  system.Run();
  submit("resubmission");
  system.Run();
  std::printf("%llu tasks started\n", static_cast<unsigned long long>(system.starts()));
  return complete == 2 && system.starts() == SampleJob().tasks.size() ? 0 : 1;
}
