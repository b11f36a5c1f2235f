#include "target/target_gate.h"

#include <utility>

#include "rpc/handshake_listener.h"
#include "rpc/wire_codec.h"

namespace wagtail {

namespace {

class target_session final : public wire::TargetSession::Server {
 public:
  explicit target_session(const target_gate_hooks& hooks) : hooks_(hooks) {}

 protected:
  kj::Promise<void> start(StartContext context) override {  // NOLINT: generated name
    auto params = context.getParams();
    bool incarnation_matches = params.getIncarnation() == hooks_.self().number;
    std::vector<std::pair<task_key, refusal>> refused;
    for (wire::StartRequest::Reader task : params.getTasks()) {
      start_request request = Read(task);
      task_key key = request.key;
      refusal reason = incarnation_matches
                           ? hooks_.accept(std::move(request), params.getOwnerUptimeMs())
                           : refusal::kWrongIncarnation;
      if (reason != refusal::kNone) {
        refused.emplace_back(key, reason);
      }
    }
    hooks_.after_batch();
    auto results = context.getResults();
    auto verdicts = results.initVerdicts(static_cast<unsigned>(refused.size()));
    for (unsigned index = 0; index < refused.size(); ++index) {
      Write(refused[index].first, refused[index].second, verdicts[index]);
    }
    Write(hooks_.load(), results.initLoad());
    return kj::READY_NOW;
  }

  kj::Promise<void> settle(SettleContext context) override {  // NOLINT: generated name
    std::vector<start_request> tasks;
    for (wire::StartRequest::Reader task : context.getParams().getTasks()) {
      tasks.push_back(Read(task));
    }
    queued_tasks queued =
        context.getParams().getWithdrawQueued() ? queued_tasks::kWithdraw : queued_tasks::kKeep;
    std::vector<task_record> records = hooks_.settle(tasks, queued);
    auto results = context.getResults();
    auto list = results.initRecords(static_cast<unsigned>(records.size()));
    for (unsigned index = 0; index < records.size(); ++index) {
      Write(records[index], list[index]);
    }
    Write(hooks_.load(), results.initLoad());
    return kj::READY_NOW;
  }

  kj::Promise<void> fence(FenceContext context) override {  // NOLINT: generated name
    auto jobs = context.getParams().getJobs();
    auto reports = context.getResults().initReports(jobs.size());
    for (unsigned index = 0; index < jobs.size(); ++index) {
      fence_report report =
          hooks_.fence(Read(jobs[index].getJob()), jobs[index].getMintedUptimeMs());
      Write(report, reports[index]);
    }
    return kj::READY_NOW;
  }

 private:
  const target_gate_hooks& hooks_;
};

class target_gate final : public wire::TargetGate::Server {
 public:
  target_gate(std::string cluster_key, const target_gate_hooks& hooks)
      : handshakes_(std::move(cluster_key)), hooks_(hooks) {}

 protected:
  kj::Promise<void> challenge(ChallengeContext context) override {  // NOLINT: generated name
    context.getResults().setNonce(handshakes_.Challenge());
    return kj::READY_NOW;
  }

  kj::Promise<void> enter(EnterContext context) override {  // NOLINT: generated name
    auto params = context.getParams();
    sha256_digest proof = handshakes_.Accept(params.getListenerNonce(), params.getCallerNonce(),
                                             ToText(params.getProof()));
    hooks_.on_enter({.nonce = params.getEntryNonce()}, params.getListener());
    target_incarnation self = hooks_.self();
    auto results = context.getResults();
    results.setSession(kj::heap<target_session>(hooks_));
    results.setTarget(ToWireText(self.target));
    results.setIncarnation(self.number);
    results.setProof(ToData(proof));
    return kj::READY_NOW;
  }

 private:
  handshake_listener handshakes_;
  const target_gate_hooks& hooks_;
};

}  // namespace

wire::TargetGate::Client MakeTargetGate(std::string cluster_key, const target_gate_hooks& hooks) {
  return kj::heap<target_gate>(std::move(cluster_key), hooks);
}

}  // namespace wagtail
