#include "entry/target_link.h"

#include <utility>

#include "rpc/batching_stream.h"
#include "rpc/handshake.h"
#include "rpc/require.h"
#include "rpc/wire_codec.h"

namespace wagtail {

/// One connection with all that hangs on it.
struct target_link::connection {
  explicit connection(kj::Own<kj::AsyncIoStream> stream)
      : stream(Batching(kj::mv(stream))), client(*this->stream) {}

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyClient client;
  kj::Maybe<wire::TargetSession::Client> session;
};

/// Receives what the target's daemon tells on its own account.
class target_link::listener final : public wire::EntryListener::Server {
 public:
  listener(target_link& link, uint64_t generation)
      : link_(link), alive_(link.alive_), generation_(generation) {}

 protected:
  kj::Promise<void> results(ResultsContext context) override {  // NOLINT: generated name
    if (!IsCurrent()) {
      return kj::READY_NOW;
    }
    target_load load = Read(context.getParams().getLoad());
    for (wire::TaskResult::Reader result : context.getParams().getResults()) {
      link_.hooks_.on_result(Read(result), load);
    }
    link_.hooks_.after_batch();
    return kj::READY_NOW;
  }

  kj::Promise<void> givenBack(GivenBackContext context) override {  // NOLINT: generated name
    if (!IsCurrent()) {
      return kj::READY_NOW;
    }
    target_load load = Read(context.getParams().getLoad());
    for (wire::Verdict::Reader verdict : context.getParams().getVerdicts()) {
      link_.hooks_.on_refused({ReadKey(verdict), ReadRefusal(verdict)}, load);
    }
    link_.hooks_.after_batch();
    return kj::READY_NOW;
  }

  kj::Promise<void> heartbeat(HeartbeatContext context) override {  // NOLINT: generated name
    Require(IsCurrent(), "superseded connection");
    auto message = context.getParams().getReport();
    target_report report{.load = Read(message.getLoad()),
                         .enforced_version = message.getEnforcedVersion(),
                         .ready = message.getReady()};
    link_.last_report_ = report;
    link_.last_heartbeat_ = MonotonicNow();
    target_policy policy = link_.hooks_.on_heartbeat(report);
    auto out = context.getResults().initPolicy();
    out.setConfigurationVersion(policy.configuration_version);
    out.setAdmitted(policy.admitted);
    return kj::READY_NOW;
  }

 private:
  bool IsCurrent() const { return *alive_ && link_.generation_ == generation_; }

  target_link& link_;
  std::shared_ptr<bool> alive_;
  uint64_t generation_;
};

target_link::target_link(event_loop& loop, target_link_options options, target_link_hooks hooks)
    : loop_(loop),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      alive_(std::make_shared<bool>(true)) {
  Connect();
}

target_link::~target_link() { *alive_ = false; }

void target_link::Connect() {
  uint64_t generation = ++generation_;
  auto connected = loop_.provider()
                       .getNetwork()
                       .parseAddress(options_.address)
                       .then([](kj::Own<kj::NetworkAddress> address) {
                         auto attempt = address->connect();
                         return attempt.attach(kj::mv(address));
                       })
                       .then([this, alive = alive_, generation](kj::Own<kj::AsyncIoStream> stream) {
                         Require(*alive && generation_ == generation, "superseded connection");
                         connection_ = std::make_unique<connection>(kj::mv(stream));
                         return Enter();
                       });
  auto bounded = canceler_.wrap(loop_.timer().timeoutAfter(
      options_.connect_timeout.count() * kj::MICROSECONDS, kj::mv(connected)));
  auto standing = bounded.then([this, alive = alive_, generation]() -> kj::Promise<void> {
    if (!*alive || generation_ != generation) {
      return kj::READY_NOW;
    }
    is_up_ = true;
    last_heartbeat_ = MonotonicNow();
    hooks_.on_up();
    hooks_.after_batch();
    WatchSilence();
    return connection_->client.onDisconnect().then(
        [] { kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "closed")); });
  });
  loop_.Detach(kj::mv(standing), [this, alive = alive_, generation](kj::Exception&& /*error*/) {
    if (*alive) {
      OnBroken(generation);
    }
  });
}

kj::Promise<void> target_link::Enter() {
  auto gate = connection_->client.bootstrap().castAs<wire::TargetGate>();
  uint64_t generation = generation_;
  return gate.challengeRequest().send().then([this, gate, generation](auto&& challenge) mutable {
    uint64_t nonce = challenge.getNonce();
    uint64_t own_nonce = RandomNonce64();
    auto request = gate.enterRequest();
    request.setListenerNonce(nonce);
    request.setCallerNonce(own_nonce);
    request.setEntryNonce(options_.self.nonce);
    request.setEntryName(ToWireText(options_.self_name));
    request.setProof(
        ToData(HandshakeProof(options_.cluster_key, handshake_side::kCaller, nonce, own_nonce)));
    request.setListener(kj::heap<listener>(*this, generation));
    return request.send().then([this, nonce, own_nonce](auto&& entered) {
      Require(IsHandshakeProof(ToText(entered.getProof()), options_.cluster_key,
                               handshake_side::kListener, nonce, own_nonce),
              "handshake refused");
      Require(entered.getIncarnation() == options_.target.number &&
                  options_.target.target == entered.getTarget().cStr(),
              "another incarnation");
      connection_->session = entered.getSession();
      return SettleAll();
    });
  });
}

kj::Promise<void> target_link::SettleAll() {
  std::vector<start_request> open = hooks_.unsettled();
  if (open.empty()) {
    return kj::READY_NOW;
  }
  auto request = KJ_ASSERT_NONNULL(connection_->session).settleRequest();
  auto list = request.initTasks(static_cast<unsigned>(open.size()));
  for (unsigned index = 0; index < open.size(); ++index) {
    Write(open[index], list[index]);
  }
  request.setWithdrawQueued(false);
  return request.send().then([this](auto&& response) { OnRecords(response.getRecords()); });
}

void target_link::OnRecords(capnp::List<wire::TaskRecord>::Reader records) {
  for (wire::TaskRecord::Reader record : records) {
    hooks_.on_settled(Read(record));
  }
}

void target_link::OnBroken(uint64_t generation) {
  if (generation_ != generation) {
    return;
  }
  ++generation_;  // callbacks of the broken connection are void from here
  bool was_up = std::exchange(is_up_, false);
  starting_.clear();  // never sent; settled on the next connection like all that was
  // This may run inside a callback of the very connection that goes.
  loop_.Detach(kj::evalLater([old = std::move(connection_)] {}));
  if (was_up) {
    hooks_.on_down();
    hooks_.after_batch();
  }
  loop_.After(options_.reconnect_delay, [this, alive = alive_] {
    if (*alive && connection_ == nullptr) {
      Connect();
    }
  });
}

void target_link::WatchSilence() {
  loop_.After(options_.heartbeat_timeout, [this, alive = alive_, generation = generation_] {
    if (!*alive || generation_ != generation) {
      return;
    }
    if (MonotonicNow() - last_heartbeat_ >= options_.heartbeat_timeout) {
      OnBroken(generation);
      return;
    }
    WatchSilence();
  });
}

void target_link::Start(const std::vector<start_request>& tasks) {
  if (!is_up_) {
    return;  // handed over on a lost link: settled on the next one
  }
  bool is_first = starting_.empty();
  starting_.insert(starting_.end(), tasks.begin(), tasks.end());
  if (is_first) {
    loop_.Detach(kj::evalLast([this, alive = alive_] {
      if (*alive) {
        SendStarts();
      }
    }));
  }
}

void target_link::SendStarts() {
  std::vector<start_request> tasks = std::exchange(starting_, {});
  if (tasks.empty() || !is_up_) {
    return;
  }
  auto request = KJ_ASSERT_NONNULL(connection_->session).startRequest();
  request.setIncarnation(options_.target.number);
  request.setOwnerUptimeMs(hooks_.uptime_ms());
  auto list = request.initTasks(static_cast<unsigned>(tasks.size()));
  for (unsigned index = 0; index < tasks.size(); ++index) {
    Write(tasks[index], list[index]);
  }
  uint64_t generation = generation_;
  auto answered = request.send().then([this, alive = alive_, generation](auto&& response) {
    if (!*alive || generation_ != generation) {
      return;
    }
    target_load load = Read(response.getLoad());
    for (wire::Verdict::Reader verdict : response.getVerdicts()) {
      hooks_.on_refused({ReadKey(verdict), ReadRefusal(verdict)}, load);
    }
    hooks_.after_batch();
  });
  loop_.Detach(kj::mv(answered), [this, alive = alive_, generation](kj::Exception&& /*error*/) {
    if (*alive) {
      OnBroken(generation);
    }
  });
}

void target_link::Withdraw(const std::vector<start_request>& tasks) {
  if (!is_up_) {
    return;
  }
  SendStarts();  // what is taken back must have been handed over before
  auto request = KJ_ASSERT_NONNULL(connection_->session).settleRequest();
  request.setWithdrawQueued(true);
  auto list = request.initTasks(static_cast<unsigned>(tasks.size()));
  for (unsigned index = 0; index < tasks.size(); ++index) {
    Write(tasks[index], list[index]);
  }
  uint64_t generation = generation_;
  auto answered = request.send().then([this, alive = alive_, generation](auto&& response) {
    if (*alive && generation_ == generation) {
      OnRecords(response.getRecords());
      hooks_.after_batch();
    }
  });
  loop_.Detach(kj::mv(answered), [](kj::Exception&& /*error*/) {});
}

kj::Promise<fence_report> target_link::Fence(const job_key& job, uint64_t minted_uptime_ms) {
  Require(is_up_, "link is down");
  SendStarts();
  auto request = KJ_ASSERT_NONNULL(connection_->session).fenceRequest();
  auto jobs = request.initJobs(1);
  Write(job, jobs[0].initJob());
  jobs[0].setMintedUptimeMs(minted_uptime_ms);
  return request.send().then([](auto&& response) {
    Require(response.getReports().size() == 1, "one report for one job");
    return Read(response.getReports()[0]);
  });
}

}  // namespace wagtail
