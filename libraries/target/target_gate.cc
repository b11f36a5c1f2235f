#include "target/target_gate.h"

#include <utility>

#include "rpc/handshake.h"
#include "rpc/handshake_nonces.h"
#include "rpc/require.h"
#include "rpc/wire_codec.h"

namespace wagtail {

namespace {

class target_session final : public wire::TargetSession::Server {
 public:
  explicit target_session(const target_gate_hooks& hooks) : hooks_(hooks) {}

 protected:
  kj::Promise<void> start(StartContext context) override {  // NOLINT: generated name
    auto params = context.getParams();
    bool is_for_us = params.getIncarnation() == hooks_.self().number;
    std::vector<std::pair<task_key, refusal>> refused;
    for (wire::StartRequest::Reader task : params.getTasks()) {
      start_request request = Read(task);
      task_key key = request.key;
      refusal reason = is_for_us ? hooks_.accept(std::move(request), params.getOwnerUptimeMs())
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
      : cluster_key_(std::move(cluster_key)), hooks_(hooks) {}

 protected:
  kj::Promise<void> challenge(ChallengeContext context) override {  // NOLINT: generated name
    context.getResults().setNonce(nonces_.Issue());
    return kj::READY_NOW;
  }

  kj::Promise<void> enter(EnterContext context) override {  // NOLINT: generated name
    auto params = context.getParams();
    uint64_t nonce = params.getListenerNonce();
    uint64_t caller = params.getCallerNonce();
    bool is_proven =
        nonces_.Redeem(nonce) && IsHandshakeProof(ToText(params.getProof()), cluster_key_,
                                                  handshake_side::kCaller, nonce, caller);
    Require(is_proven, "handshake refused");
    hooks_.on_enter({.nonce = params.getEntryNonce()}, params.getListener());
    target_incarnation self = hooks_.self();
    auto results = context.getResults();
    results.setSession(kj::heap<target_session>(hooks_));
    results.setTarget(ToWireText(self.target));
    results.setIncarnation(self.number);
    results.setProof(
        ToData(HandshakeProof(cluster_key_, handshake_side::kListener, nonce, caller)));
    return kj::READY_NOW;
  }

 private:
  std::string cluster_key_;
  const target_gate_hooks& hooks_;
  handshake_nonces nonces_;
};

}  // namespace

wire::TargetGate::Client MakeTargetGate(std::string cluster_key, const target_gate_hooks& hooks) {
  return kj::heap<target_gate>(std::move(cluster_key), hooks);
}

}  // namespace wagtail
