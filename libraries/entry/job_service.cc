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

// How long a caller is kept waiting at most while another entry's job is settled.
constexpr duration kRecoveryLimit = std::chrono::seconds(30);

http_response DifferentBody() {
  return RespondUnknown(kUnprocessable, "id_used_for_another_body",
                        "the job id was used before with another body");
}

// Ends a job's claim on its team's quota; one of which nothing ran costs no starts.
void GiveBack(const std::shared_ptr<team_quota>& quota, uint32_t tasks, const job_answer& answer) {
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
    GiveBack(quota, tasks, answer);
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
      respond(RespondUnknown(kGone, "id_expired",
                             "the job id is past its life; what became of it is not known"));
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
  // The owner knows every job that it took in while the id lives: this one was not among them.
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

recovery_targets job_service::PlacesOf(const checked_submission& submission) const {
  // Of every service: the body sent now need not be the one that was sent first.
  std::set<std::string> services;
  for (const auto& [name, record] : context_.targets.records()) {
    if (record.row.has_value()) {
      services.insert(record.row->service);
    }
  }
  recovery_targets places;
  for (const std::string& service : services) {
    possible_targets of_service =
        PossibleTargets(context_.targets, service, submission.id.registry_revision);
    std::ranges::transform(of_service.present, std::back_inserter(places.present),
                           &target_row::incarnation);
    places.records_lost = places.records_lost || !of_service.CanProveNotRun();
  }
  return places;
}

void job_service::Recover(const checked_submission& submission, respond_hook respond) {
  recovery_request request{
      .key = submission.id.key,
      .minted_uptime_ms = submission.id.minted_uptime_ms,
      .digest = DigestOf(submission.raw_body),
      .task_count = static_cast<uint32_t>(submission.body.tasks.size()),
      .places = PlacesOf(submission),
      .deadline = MonotonicNow() + submission.body.deadline.value_or(kRecoveryLimit)};
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
        respond(RespondUnknown(kNotFound, "owner_unreachable",
                               "the entry that owns the job can't be reached; submit the job "
                               "again to learn what became of it"));
      });
  context_.loop.Detach(kj::mv(settled));
}

void job_service::CancelOwned(const job_id& id, const respond_hook& respond) {
  if (context_.dispatch.Cancel(id.key)) {
    respond(RespondJson(R"({"cancelled":true})"));
    return;
  }
  respond(RespondUnknown(kNotFound, "not_in_progress", "no job of that id is in progress here"));
}

}  // namespace wagtail
