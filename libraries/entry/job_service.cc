#include "entry/job_service.h"

#include <algorithm>
#include <set>
#include <utility>

#include "admission/admission_error.h"
#include "entry/answer_json.h"
#include "logging/logging.h"
#include "membership/possible_targets.h"

namespace wagtail {

namespace {

constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnprocessable = 422;

// Recovery deadline for another entry's job if the submission has none.
constexpr duration kDefaultRecoveryTimeout = std::chrono::seconds(30);

http_response DifferentBody() {
  return RespondError(kUnprocessable, "id_used_for_another_body",
                      "the job id was used before with another body");
}

// Releases a job's claim on its team's quota; a job of which nothing ran is charged no starts.
void ReleaseQuota(const std::shared_ptr<team_quota>& quota, uint32_t tasks,
                  const job_answer& answer) {
  if (quota == nullptr) {
    return;
  }
  if (answer.outcome == job_outcome::kFailedNotRun) {
    quota->Revoke(tasks);
  } else {
    quota->Release(tasks);
  }
}

}  // namespace

void job_service::Submit(checked_submission submission, const respond_hook& respond) {
  if (submission.id.key.owner == context_.self) {
    SubmitOwned(std::move(submission), respond);
    return;
  }
  Forward(std::make_shared<checked_submission>(std::move(submission)), respond);
}

void job_service::SubmitOwned(checked_submission submission, const respond_hook& respond) {
  job_submission job;
  job.key = submission.id.key;
  job.team = submission.id.team;
  job.digest = DigestOf(submission.raw_body);
  job.minted_uptime_ms = submission.id.minted_uptime_ms;
  job.registry_revision = submission.id.registry_revision;
  absl::Status filled = FillSubmission(job, std::move(submission.body),
                                       context_.configuration.current(), MonotonicNow());
  if (!filled.ok()) {
    respond(RespondWith(
        {.status = kUnprocessable, .error = "unknown_service", .message = MessageOf(filled)}));
    return;
  }
  auto tasks = static_cast<uint32_t>(job.tasks.size());
  bool is_known = context_.dispatch.decisions().FindJob(job.key) != nullptr;
  std::shared_ptr<team_quota> quota;
  if (!is_known && !context_.dispatch.IsExpired(job.minted_uptime_ms)) {
    std::optional<std::shared_ptr<team_quota>> admitted = Admit(submission, tasks, respond);
    if (!admitted.has_value()) {
      return;
    }
    quota = *std::move(admitted);
  }
  auto answer = [this, respond, quota, tasks, id = submission.id_text,
                 submitted_at = MonotonicNow()](const job_answer& answer) {
    context_.metrics.OnAnswer(answer, MonotonicNow() - submitted_at);
    ReleaseQuota(quota, tasks, answer);
    respond(RespondWith(id, answer));
  };
  switch (context_.dispatch.Submit(std::move(job), answer)) {
    case submit_outcome::kAccepted:
    case submit_outcome::kJoined:
      return;
    case submit_outcome::kDifferentBody:
      respond(DifferentBody());
      return;
    case submit_outcome::kExpired:
      respond(RespondError(kGone, "id_expired",
                           "the job id has expired; the outcome of the job is not known"));
      return;
  }
}

std::optional<std::shared_ptr<team_quota>> job_service::Admit(const checked_submission& submission,
                                                              uint32_t tasks,
                                                              const respond_hook& respond) {
  std::shared_ptr<team_quota> quota = context_.quotas.Find(submission.id.team);
  if (quota == nullptr) {
    return quota;
  }
  absl::Status admitted = quota->TryAdmit(tasks, MonotonicNow());
  if (admitted.ok()) {
    return quota;
  }
  // The owner keeps every accepted job until its id expires, so this job was never accepted.
  job_answer refused{.reason = std::string(kQuotaExceeded), .results = {}};
  refused.retry_after = RetryAfterOf(admitted).value_or(duration::zero());
  context_.metrics.OnRefusal(kQuotaExceeded);
  respond(RespondWith(submission.id_text, refused));
  return std::nullopt;
}

void job_service::Forward(const std::shared_ptr<checked_submission>& submission,
                          const respond_hook& respond) {
  const job_id& id = submission->id;
  auto answered = context_.peers.Submit(id.owner_address, id.key.owner, submission->id_text,
                                        id.team, submission->raw_body);
  auto settled = answered.then(
      [respond](forwarded_answer&& answer) {
        http_response response = RespondJson(std::move(answer.body));
        response.status = answer.status;
        respond(std::move(response));
      },
      [this, submission, respond](kj::Exception&& /*error*/) {
        LogFact(log_level::kWarning, "owner_unreachable",
                {{"job", ToString(submission->id.key)}, {"owner", submission->id.owner_address}});
        Recover(*submission, respond);
      });
  context_.loop.Detach(kj::mv(settled));
}

recovery_targets job_service::PossibleTargetsOf(const checked_submission& submission) const {
  // Covers every service, since the resubmitted body may differ from the original.
  std::set<std::string> services;
  for (const auto& [name, record] : context_.targets.records()) {
    if (record.row.has_value()) {
      services.insert(record.row->service);
    }
  }
  recovery_targets targets;
  for (const std::string& service : services) {
    possible_targets of_service =
        PossibleTargets(context_.targets, service, submission.id.registry_revision);
    std::ranges::transform(of_service.present, std::back_inserter(targets.present),
                           &target_row::incarnation);
    targets.records_lost = targets.records_lost || !of_service.CanProveNotRun();
  }
  return targets;
}

void job_service::Recover(const checked_submission& submission, respond_hook respond) {
  recovery_request request{
      .key = submission.id.key,
      .minted_uptime_ms = submission.id.minted_uptime_ms,
      .digest = DigestOf(submission.raw_body),
      .task_count = static_cast<uint32_t>(submission.body.tasks.size()),
      .targets = PossibleTargetsOf(submission),
      .deadline = MonotonicNow() + submission.body.deadline.value_or(kDefaultRecoveryTimeout)};
  context_.recoveries.Recover(
      std::move(request),
      [id = submission.id_text, respond = std::move(respond)](const recovery_result& result) {
        respond(result.different_body ? DifferentBody() : RespondWith(id, result.answer));
      });
}

void job_service::Cancel(const job_id& id, const std::string& id_text,
                         const respond_hook& respond) {
  if (id.key.owner == context_.self) {
    CancelOwned(id, respond);
    return;
  }
  auto answered = context_.peers.Cancel(id.owner_address, id.key.owner, id_text, id.team);
  auto settled = answered.then(
      [respond](forwarded_answer&& answer) {
        http_response response = RespondJson(std::move(answer.body));
        response.status = answer.status;
        respond(std::move(response));
      },
      [respond](kj::Exception&& /*error*/) {
        respond(RespondError(kNotFound, "owner_unreachable",
                             "the entry that owns the job can't be reached; submit the job "
                             "again to get the outcome of the job"));
      });
  context_.loop.Detach(kj::mv(settled));
}

void job_service::CancelOwned(const job_id& id, const respond_hook& respond) {
  if (context_.dispatch.Cancel(id.key)) {
    respond(RespondJson(R"({"cancelled":true})"));
    return;
  }
  respond(RespondError(kNotFound, "not_in_progress", "no job of that id is in progress here"));
}

}  // namespace wagtail
