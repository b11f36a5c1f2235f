#include "entry/job_service.h"

#include <algorithm>
#include <set>
#include <utility>

#include "entry/answer_json.h"
#include "logging/logging.h"
#include "membership/possible_places.h"

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
  auto answer = [this, respond, id = submission.id_text,
                 submitted_at = MonotonicNow()](const job_answer& answer) {
    context_.metrics.OnAnswer(answer, MonotonicNow() - submitted_at);
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

void job_service::Forward(const std::shared_ptr<checked_submission>& submission,
                          const respond_hook& respond) {
  const job_id& id = submission->id;
  auto answered = context_.peers.Submit(id.owner_address, id.key.owner, submission->id_text,
                                        id.team, submission->raw_body);
  auto settled = answered.then(
      [respond](peer_answer&& answer) {
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

recovery_places job_service::PlacesOf(const checked_submission& submission) const {
  std::set<std::string> services;
  for (const job_body::task& task : submission.body.tasks) {
    services.insert(task.service);
  }
  recovery_places places;
  for (const std::string& service : services) {
    possible_places of_service =
        PossiblePlaces(context_.targets, service, submission.id.registry_revision);
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
      [respond](peer_answer&& answer) {
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
