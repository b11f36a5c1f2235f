#include "utilities/capacity_bench/fake_targets.h"

#include <capnp/rpc-twoparty.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "rpc/batching_stream.h"

namespace wagtail {

namespace {

start_ledger_options LedgerOptions(const target_incarnation& self,
                                   const fake_target_options& options) {
  start_ledger_options ledger;
  ledger.self = self;
  ledger.slots = options.slots;
  ledger.queue_limit = options.queue_limit;
  // The bench starts in seconds what a target starts in minutes.
  ledger.max_records = 5'000'000;
  return ledger;
}

}  // namespace

class fake_target::rpc_server {
 public:
  rpc_server(kj::Own<kj::ConnectionReceiver> receiver, wire::TargetGate::Client gate)
      : receiver_(kj::mv(receiver)),
        server_(kj::mv(gate)),
        listening_(server_.listen(*receiver_).eagerlyEvaluate([](kj::Exception&& /*error*/) {})) {}
  unsigned port() { return receiver_->getPort(); }

 private:
  kj::Own<kj::ConnectionReceiver> receiver_;
  capnp::TwoPartyServer server_;
  kj::Promise<void> listening_;  // refers to both of the above
};

fake_target::fake_target(event_loop& loop, std::string name, const fake_target_options& options)
    : loop_(loop),
      self_{.target = std::move(name), .number = 1},
      options_(options),
      ledger_(LedgerOptions(self_, options), [](instant /*now*/) { return refusal::kNone; }),
      sessions_(loop, [this] { return Load(); }),
      hooks_(MakeHooks()) {
  Heartbeat();
}

fake_target::~fake_target() { *alive_ = false; }

kj::Promise<void> fake_target::Listen() {
  return loop_.provider()
      .getNetwork()
      .parseAddress("127.0.0.1")
      .then([this](kj::Own<kj::NetworkAddress> address) {
        server_ = std::make_shared<rpc_server>(Batching(address->listen()),
                                               MakeTargetGate(options_.cluster_key, hooks_));
      });
}

target_row fake_target::Row() const {
  target_row row;
  row.incarnation = self_;
  row.service = kBenchService;
  row.failure_domain = "zone-1";
  row.slots = options_.slots;
  row.address = absl::StrCat("127.0.0.1:", server_->port());
  return row;
}

target_gate_hooks fake_target::MakeHooks() {
  target_gate_hooks hooks;
  hooks.self = [this] { return self_; };
  hooks.on_enter = [this](entry_incarnation entry, wire::EntryListener::Client listener) {
    sessions_.Add(entry, kj::mv(listener));
  };
  hooks.accept = [this](start_request request, uint64_t owner_uptime_ms) {
    return ledger_.Accept(std::move(request), owner_uptime_ms, MonotonicNow());
  };
  hooks.after_batch = [this] { Pump(); };
  hooks.settle = [this](std::span<const start_request> tasks, queued_tasks queued) {
    return ledger_.Settle(tasks, queued, MonotonicNow());
  };
  hooks.fence = [this](const job_key& job, uint64_t minted_uptime_ms) {
    return ledger_.FenceJob(job, minted_uptime_ms, MonotonicNow());
  };
  hooks.load = [this] { return Load(); };
  return hooks;
}

void fake_target::Pump() {
  while (auto next = ledger_.TakeNext(MonotonicNow())) {
    if (next->reason != refusal::kNone) {
      sessions_.QueueNotStarted(next->request.key, next->reason);
      continue;
    }
    task_result result{.key = next->request.key,
                       .completed = true,
                       .body = std::move(next->request.body),
                       .run_time = options_.told_run_time};
    ledger_.Finish(result, MonotonicNow());
    sessions_.QueueResult(std::move(result));
  }
}

void fake_target::Heartbeat() {
  sessions_.Heartbeat({.enforced_version = 1, .ready = true}, [](const policy_answer&) {});
  loop_.After(options_.heartbeat_period, [this, alive = alive_] {
    if (*alive) {
      Heartbeat();
    }
  });
}

}  // namespace wagtail
