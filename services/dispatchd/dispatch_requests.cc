#include <algorithm>
#include <limits>
#include <utility>

#include "base/layer_error.h"
#include "base/try.h"
#include "logging/logging.h"
#include "platform/job_json.h"
#include "platform/platform_error.h"
#include "services/dispatchd/dispatch_service.h"

/// @file
/// Requests of callers in dispatch_service, from their filters to their answers.

namespace wagtail::leased {
namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
/// How long the caller's thread waits for the answer after the job's deadline.
constexpr duration kAnswerGrace = std::chrono::seconds(2);

std::string_view OutcomeName(job_outcome outcome) {
  switch (outcome) {
    case job_outcome::kCompleted:
      return "completed";
    case job_outcome::kFailed:
      return "failed";
    case job_outcome::kRefused:
      return "refused";
    case job_outcome::kAbandoned:
      return "abandoned";
    case job_outcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace

front_hooks dispatch_service::FrontHooks() {
  front_hooks hooks;
  hooks.stopping = [this] { return refusing_jobs_.load(); };
  hooks.busy = [this] {
    bool busy = backlog_.IsOver(BootTimeNow());
    refused_busy_ += busy ? 1 : 0;
    return busy;
  };
  hooks.await_plan = [this](duration deadline) { return AwaitPlan(deadline); };
  hooks.queue = [this](const std::string& host, const std::string& path) {
    return shared_plan_.Read([&](const operating_plan& plan) {
      const queue_plan* queue = plan.QueueFor(host, path);
      return queue_match{.plan_version = plan.version,
                         .max_body_bytes = plan.max_body_bytes,
                         .queue = queue == nullptr ? std::nullopt : std::optional(*queue)};
    });
  };
  hooks.decode = [this](std::string_view body) { return DecodeJob(body); };
  hooks.in_progress = [this](std::string_view job) { return jobs_in_progress_.Contains(job); };
  hooks.submit = [this](front_request& request) { return Submit(request); };
  hooks.cancel = [this](front_request& request) { return Cancel(request); };
  hooks.state = [this](front_request& request) { return JobState(request); };
  return hooks;
}

absl::StatusOr<platform::job_body> dispatch_service::DecodeJob(std::string_view body) {
  absl::StatusOr<platform::job_body> job;
  // The reservation is made before the next job is decoded.
  auto read = [&]() -> absl::Status {
    job = platform::ReadJob(body);
    TRY(job.status());
    job->memory = TRY(job_memory_.Reserve(*job));
    return absl::OkStatus();
  };
  absl::Status reserved;
  TRY(listeners_.decoder().Run(body, [&] { reserved = read(); }));
  if (ErrorOf<platform::platform_error>(reserved) == platform::platform_error::kNoMemory) {
    // The refused caller finds room when it comes back.
    loop_.Post([this] {
      scheduler_->GiveUpLargeJob(BootTimeNow());
      ScheduleTurn();
    });
  }
  TRY(reserved);
  return job;
}

bool dispatch_service::HasPlan() const {
  return shared_plan_.Read([](const operating_plan& plan) { return plan.version > 0; });
}

size_t dispatch_service::MaxBodyBytes() const {
  return shared_plan_.Read([](const operating_plan& plan) {
    // Before the first plan the limit of the customer is not known; the queue's filter checks it.
    return plan.version > 0 ? plan.max_body_bytes : std::numeric_limits<size_t>::max();
  });
}

std::optional<duration> dispatch_service::AwaitPlan(duration deadline) {
  if (HasPlan()) {
    return duration::zero();
  }
  instant arrived = BootTimeNow();
  duration limit = FirstPlanDeadline({}, started_, arrived, deadline) - arrived;
  bool has_plan = first_plan_gate_.WaitFor(std::max(limit, duration::zero()));
  duration waited = BootTimeNow() - arrived;
  LogFact(log_level::kInfo, "waited_for_first_plan",
          {{"waited_ms", ToMilliseconds(waited)}, {"known", has_plan}});
  return has_plan ? std::optional(waited) : std::nullopt;
}

http_response dispatch_service::Submit(front_request& request) {
  jobs_in_progress::request in_progress(jobs_in_progress_, request.job);
  auto pending = std::make_shared<pending_answer>();
  request_serial serial = next_serial_++;
  duration deadline = request.submission.deadline;
  instant arrived = BootTimeNow();
  // Debug level only: the first log line of most jobs is `tasks_ordered`, and one more line takes a
  // twentieth of a job's processing time.
  LogFact(log_level::kDebug, "job_arrived",
          {{"job", request.job},
           {"queue", request.queue.name},
           {"deadline_ms", ToMilliseconds(deadline)}});
  backlog_.OnWorkPosted(arrived);
  loop_.Post([this, arrival = arrival{.serial = serial,
                                      .arrived = arrived,
                                      .socket = request.http->socket,
                                      .submission = std::move(request.submission),
                                      .pending = pending}]() mutable {
    // Admitted at the end of the turn, after the messages of agents that have already arrived.
    arrivals_.push_back(std::move(arrival));
    ScheduleTurn();
  });
  std::optional<job_answer> answer = pending->Wait(request.http->socket, deadline + kAnswerGrace);
  if (!answer.has_value()) {
    loop_.Post([this, serial] {
      std::erase_if(arrivals_,
                    [serial](const arrival& waiting) { return waiting.serial == serial; });
      pending_answers_.erase(serial);
      scheduler_->CallerGone(serial);
      ScheduleTurn();
    });
    answer = {.outcome = job_outcome::kAbandoned, .reason = "caller_gone"};
  }
  RecordAnswer(request, *answer,
               {.arrived = arrived, .deadline = deadline, .queued = pending->queued()});
  return platform::WriteAnswer(*answer);
}

void dispatch_service::AdmitArrivals() {
  for (arrival& admitted : std::exchange(arrivals_, {})) {
    instant now = BootTimeNow();
    duration queued = now - admitted.arrived;
    backlog_.OnWorkTaken(queued, now);
    // After this process was frozen, a request may be older than its caller's timeout, even one
    // that was read only now. The caller sends the job again, possibly to another entry, so it must
    // not be started here as well.
    if (IsCallerGone(admitted.socket)) {
      admitted.pending->SetAnswer(
          {.outcome = job_outcome::kAbandoned, .reason = "caller_gone_before"});
      continue;
    }
    load_monitor_.OnJobAdmitted(queued);
    admitted.pending->OnAdmitted(queued);
    pending_answers_[admitted.serial] = std::move(admitted.pending);
    admitted.submission.queued = queued;
    scheduler_->Submit(admitted.serial, std::move(admitted.submission), now);
  }
}

void dispatch_service::RecordAnswer(const front_request& request, const job_answer& answer,
                                    const request_times& times) {
  duration took = BootTimeNow() - times.arrived;
  LogFact(log_level::kInfo, "job_answered",
          {{"job", request.job},
           {"queue", request.queue.name},
           {"plan", request.plan_version},
           {"deadline_ms", ToMilliseconds(times.deadline)},
           {"outcome", OutcomeName(answer.outcome)},
           {"reason", answer.reason},
           {"retry_after_ms", ToMilliseconds(answer.retry_after)},
           {"queued_ms", ToMilliseconds(times.queued)},
           {"took_ms", ToMilliseconds(took)}});
  answers_
      ->Add({{"queue", request.queue.name},
             {"outcome", std::string(OutcomeName(answer.outcome))},
             {"reason", answer.reason}})
      .Increment();
  answer_seconds_->Add({{"queue", request.queue.name}}).Observe(ToSeconds(took));
}

http_response dispatch_service::Cancel(const front_request& request) {
  bool known = false;
  loop_.Run([&] {
    known = scheduler_->Cancel(request.job);
    ScheduleTurn();
  });
  LogFact(log_level::kInfo, "cancel_answered", {{"job", request.job}, {"known", known}});
  if (!known) {
    return platform::WriteRefusal(kGone, "no_such_job", duration::zero());
  }
  return platform::WriteAnswer({.outcome = job_outcome::kCancelled});
}

http_response dispatch_service::JobState(const front_request& request) {
  bool known = false;
  loop_.Run([&] { known = scheduler_->HasJob(request.job); });
  if (!known) {
    return platform::WriteRefusal(kGone, "no_such_job", duration::zero());
  }
  return {.status = kOk,
          .headers = {{"content-type", "application/json"}},
          .body = R"({"state":"running"})"};
}

}  // namespace wagtail::leased
