#include "entry/job_api.h"

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "entry/answer_json.h"
#include "entry/key_binding.h"
#include "security/digest.h"
#include "settings/settings_text.h"

namespace wagtail {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kUnprocessable = 422;
constexpr int kServiceUnavailable = 503;
constexpr uint64_t kMaxIdsPerRequest = 1000;
constexpr std::string_view kJobsPath = "/v1/jobs/";
constexpr std::string_view kCancelSuffix = "/cancel";
constexpr std::string_view kBearer = "Bearer ";
constexpr duration kNotReadyRetry = std::chrono::seconds(1);

std::string_view JobIdFromPath(std::string_view path) {
  path.remove_prefix(std::min(path.size(), kJobsPath.size()));
  return path.ends_with(kCancelSuffix) ? path.substr(0, path.size() - kCancelSuffix.size()) : path;
}

}  // namespace

std::string_view BearerToken(const http_request& request) {
  auto header = request.headers.find("authorization");
  if (header == request.headers.end() || !header->second.starts_with(kBearer)) {
    return {};
  }
  return std::string_view(header->second).substr(kBearer.size());
}

job_api::job_api(entry_context& context, job_service& jobs) : context_(context), jobs_(jobs) {
  auto authenticate = [this](job_request& request) { return Authenticate(request); };
  auto check_id = [this](job_request& request) { return CheckId(request); };
  auto check_body = [this](job_request& request) { return CheckBody(request); };
  auto check_services = [this](job_request& request) { return CheckServices(request); };
  submit_chain_ = {authenticate, check_id, check_body, check_services};
  submit_without_id_chain_ = {authenticate, check_body, check_services,
                              [this](job_request& request) { return BindId(request); }};
  cancel_chain_ = {authenticate, check_id};
}

std::optional<http_response> job_api::Authenticate(job_request& request) const {
  // Tokens are looked up by digest, so that the lookup time reveals nothing about the token.
  std::string digest = Sha256Hex(BearerToken(request.http));
  bool is_ready = context_.view.Read([&](const entry_view& view) {
    auto found = view.team_of_token.find(digest);
    request.team = found == view.team_of_token.end() ? "" : found->second;
    return view.is_ready();
  });
  if (!is_ready) {
    return RespondWith({.status = kServiceUnavailable,
                        .error = "not_ready",
                        .message = "this entry accepts no work now",
                        .retry_after = kNotReadyRetry});
  }
  if (request.team.empty()) {
    return RespondWith({.status = kUnauthorized,
                        .error = "unknown_token",
                        .message = "the bearer token is missing or belongs to no team"});
  }
  return std::nullopt;
}

std::optional<http_response> job_api::CheckId(job_request& request) const {
  std::string_view text = JobIdFromPath(request.http.path);
  absl::StatusOr<job_id> id = context_.ids.Decode(text);
  // Another team's job gets the same answer as an unknown one.
  if (!id.ok() || id->team != request.team) {
    return RespondError(kNotFound, "unknown_job", "no such job id was issued to this team");
  }
  request.submission.id = *std::move(id);
  request.submission.id_text = text;
  return std::nullopt;
}

std::optional<http_response> job_api::CheckBody(job_request& request) const {
  absl::StatusOr<job_body> body = ParseJobBody(request.http.body);
  if (!body.ok()) {
    return RespondWith(
        {.status = kUnprocessable, .error = "bad_body", .message = MessageOf(body.status())});
  }
  request.submission.body = *std::move(body);
  request.submission.raw_body = request.http.body;
  return std::nullopt;
}

std::optional<http_response> job_api::CheckServices(job_request& request) const {
  enum class service_check { kAllowed, kUnknown, kForbidden };
  std::string service;
  service_check found = context_.view.Read([&](const entry_view& view) {
    auto team = view.current.teams.find(request.team);
    if (team == view.current.teams.end()) {
      return service_check::kForbidden;  // removed from the configuration since Authenticate()
    }
    for (const job_body::task& task : request.submission.body.tasks) {
      service = task.service;
      if (!view.current.services.contains(task.service)) {
        return service_check::kUnknown;
      }
      const std::vector<std::string>& allowed = team->second.services;
      if (!allowed.empty() && std::ranges::find(allowed, task.service) == allowed.end()) {
        return service_check::kForbidden;
      }
    }
    return service_check::kAllowed;
  });
  if (found == service_check::kAllowed) {
    return std::nullopt;
  }
  if (found == service_check::kForbidden) {
    return RespondWith({.status = kForbidden,
                        .error = "service_not_allowed",
                        .message = "the team may not use " + service});
  }
  return RespondWith({.status = kUnprocessable,
                      .error = "unknown_service",
                      .message = "the configuration has no service " + service});
}

http_response job_api::RunChain(const std::vector<job_filter>& chain, job_request& request,
                                const std::function<void(respond_hook)>& handler) {
  for (const job_filter& filter : chain) {
    if (std::optional<http_response> answer = filter(request); answer.has_value()) {
      context_.metrics.OnRefusal(std::to_string(answer->status));
      return *std::move(answer);
    }
  }
  auto answered = std::make_shared<std::promise<http_response>>();
  std::future<http_response> answer = answered->get_future();
  context_.loop.Post([handler, answered] {
    handler([answered](http_response response) { answered->set_value(std::move(response)); });
  });
  return answer.get();
}

http_response job_api::RunSubmission(const std::vector<job_filter>& chain,
                                     const http_request& request) {
  job_request job{.http = request, .team = "", .submission = {}};
  return RunChain(chain, job, [this, &job](const respond_hook& respond) {
    jobs_.Submit(std::move(job.submission), respond);
  });
}

http_response job_api::SubmitJob(const http_request& request) {
  return RunSubmission(submit_chain_, request);
}

http_response job_api::SubmitWithoutId(const http_request& request) {
  return RunSubmission(submit_without_id_chain_, request);
}

std::optional<http_response> job_api::BindId(job_request& request) {
  std::string id = MintId(request.team);
  auto key = request.http.headers.find("idempotency-key");
  if (key != request.http.headers.end()) {
    if (key->second.empty() || key->second.size() > kMaxKeyBytes) {
      return RespondWith({.status = kUnprocessable,
                          .error = "bad_key",
                          .message = "idempotency-key must have 1 to 256 bytes"});
    }
    key_binding wanted{.job_id = id,
                       .digest = DigestOf(request.submission.raw_body),
                       .bound_at_s = absl::ToUnixSeconds(absl::Now())};
    absl::StatusOr<key_binding> bound =
        BindKey(context_.platform_table, request.team, key->second, wanted);
    if (!bound.ok()) {
      // Whether or not the key was bound, nothing was submitted under the new id.
      return RespondWith({.status = kServiceUnavailable,
                          .error = "key_not_bound",
                          .message = MessageOf(bound.status()),
                          .retry_after = kNotReadyRetry});
    }
    if (bound->digest != wanted.digest) {
      return RespondError(kUnprocessable, "key_used_for_another_body",
                          "the idempotency key was used before with another body");
    }
    id = bound->job_id;
  }
  absl::StatusOr<job_id> decoded = context_.ids.Decode(id);
  if (!decoded.ok()) {
    return RespondError(kServiceUnavailable, "binding_unreadable", MessageOf(decoded.status()));
  }
  request.submission.id = *std::move(decoded);
  request.submission.id_text = id;
  return std::nullopt;
}

http_response job_api::CancelJob(const http_request& request) {
  job_request job{.http = request, .team = "", .submission = {}};
  return RunChain(cancel_chain_, job, [this, &job](const respond_hook& respond) {
    jobs_.Cancel(job.submission.id, job.submission.id_text, respond);
  });
}

http_response job_api::MintIds(const http_request& request) {
  job_request job{.http = request, .team = "", .submission = {}};
  if (std::optional<http_response> refused = Authenticate(job); refused.has_value()) {
    return *std::move(refused);
  }
  uint64_t count = 1;
  if (!request.body.empty()) {
    absl::Status read = ReadSettings(request.body, "request", [&count](object_reader& body) {
      count = body.Unsigned("count", 1, {1, kMaxIdsPerRequest});
    });
    if (!read.ok()) {
      return RespondWith(
          {.status = kUnprocessable, .error = "bad_body", .message = MessageOf(read)});
    }
  }
  nlohmann::json ids = nlohmann::json::array();
  for (uint64_t minted = 0; minted < count; ++minted) {
    ids.push_back(MintId(job.team));
  }
  return RespondJson(nlohmann::json({{"ids", std::move(ids)}}).dump());
}

std::string job_api::MintId(const std::string& team) {
  job_id id;
  id.key = {.owner = context_.self, .sequence = context_.next_sequence.fetch_add(1) + 1};
  id.minted_uptime_ms = context_.dispatch.UptimeMs();
  id.registry_revision = context_.registry_revision.load();
  id.team = team;
  id.owner_address = context_.rpc_address;
  return context_.ids.Encode(id);
}

}  // namespace wagtail
