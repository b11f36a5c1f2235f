#include "entry/entry_gate.h"

#include <memory>
#include <utility>

#include "entry/answer_json.h"
#include "rpc/handshake_listener.h"
#include "rpc/wire_codec.h"

namespace wagtail {

namespace {

constexpr int kNotFound = 404;
constexpr int kUnprocessable = 422;

// Adapts a respond hook to a promise.
struct pending_response {
  kj::Promise<std::shared_ptr<http_response>> promise;
  respond_hook respond;
};

pending_response MakePending() {
  using response_pointer = std::shared_ptr<http_response>;
  auto pair = kj::newPromiseAndFulfiller<response_pointer>();
  auto fulfiller =
      std::make_shared<kj::Own<kj::PromiseFulfiller<response_pointer>>>(kj::mv(pair.fulfiller));
  return {.promise = kj::mv(pair.promise), .respond = [fulfiller](http_response response) {
            (*fulfiller)->fulfill(std::make_shared<http_response>(std::move(response)));
          }};
}

class entry_peer final : public wire::EntryPeer::Server {
 public:
  entry_peer(entry_context& context, job_service& jobs) : context_(context), jobs_(jobs) {}

 protected:
  kj::Promise<void> submit(SubmitContext context) override {  // NOLINT: generated name
    auto params = context.getParams();
    checked_submission submission;
    submission.id_text = params.getJobId().cStr();
    submission.raw_body = ToText(params.getBody());
    pending_response pending = MakePending();
    absl::StatusOr<job_id> id = context_.ids.Decode(submission.id_text);
    absl::StatusOr<job_body> body = ParseJobBody(submission.raw_body);
    if (!id.ok() || id->team != params.getTeam().cStr() || id->key.owner != context_.self) {
      pending.respond(RespondError(kNotFound, "unknown_job", "this entry has no such job"));
    } else if (!body.ok()) {
      pending.respond(RespondWith(
          {.status = kUnprocessable, .error = "bad_body", .message = MessageOf(body.status())}));
    } else {
      submission.id = *std::move(id);
      submission.body = *std::move(body);
      jobs_.SubmitOwned(std::move(submission), pending.respond);
    }
    return pending.promise.then([context](auto&& response) mutable {
      context.getResults().setStatus(static_cast<uint16_t>(response->status));
      context.getResults().setAnswer(ToData(response->body));
    });
  }

  kj::Promise<void> cancel(CancelContext context) override {  // NOLINT: generated name
    auto params = context.getParams();
    pending_response pending = MakePending();
    absl::StatusOr<job_id> id = context_.ids.Decode(params.getJobId().cStr());
    if (!id.ok() || id->team != params.getTeam().cStr() || id->key.owner != context_.self) {
      pending.respond(RespondError(kNotFound, "unknown_job", "this entry has no such job"));
    } else {
      jobs_.CancelOwned(*id, pending.respond);
    }
    return pending.promise.then([context](auto&& response) mutable {
      context.getResults().setStatus(static_cast<uint16_t>(response->status));
      context.getResults().setAnswer(ToData(response->body));
    });
  }

  kj::Promise<void> configuration(
      ConfigurationContext context) override {  // NOLINT: generated name
    auto newer = context_.propagator.OnPeerQuery(context.getParams().getHave());
    auto row = context.getResults().initRow();
    if (newer.has_value()) {
      row.setValue(ToWireText(newer->text));
      row.setRevision(newer->revision);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> ping(PingContext /*context*/) override {  // NOLINT: generated name
    return kj::READY_NOW;
  }

 private:
  entry_context& context_;
  job_service& jobs_;
};

class entry_gate final : public wire::EntryGate::Server {
 public:
  entry_gate(std::string cluster_key, entry_context& context, job_service& jobs)
      : handshakes_(std::move(cluster_key)), context_(context), jobs_(jobs) {}

 protected:
  kj::Promise<void> challenge(ChallengeContext context) override {  // NOLINT: generated name
    context.getResults().setNonce(handshakes_.Challenge());
    return kj::READY_NOW;
  }

  kj::Promise<void> enter(EnterContext context) override {  // NOLINT: generated name
    auto params = context.getParams();
    sha256_digest proof = handshakes_.Accept(params.getListenerNonce(), params.getCallerNonce(),
                                             ToText(params.getProof()));
    auto results = context.getResults();
    results.setPeer(kj::heap<entry_peer>(context_, jobs_));
    results.setNonce(context_.self.nonce);
    results.setProof(ToData(proof));
    return kj::READY_NOW;
  }

 private:
  handshake_listener handshakes_;
  entry_context& context_;
  job_service& jobs_;
};

}  // namespace

wire::EntryGate::Client MakeEntryGate(std::string cluster_key, entry_context& context,
                                      job_service& jobs) {
  return kj::heap<entry_gate>(std::move(cluster_key), context, jobs);
}

}  // namespace wagtail
