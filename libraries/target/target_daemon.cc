#include "target/target_daemon.h"

#include <future>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/verify.h"
#include "rpc/require.h"

namespace wagtail {

namespace {

constexpr duration kStopPoll = std::chrono::milliseconds(10);
constexpr uint32_t kMaxSlots = 256;

}  // namespace

target_daemon::target_daemon(target_daemon_options options, table& table)
    : options_(std::move(options)),
      table_(table),
      hooks_(MakeHooks()),
      gate_(options_.freshness),
      sessions_(loop_, [this] { return Load(); }) {}

target_daemon::~target_daemon() { Stop(); }

absl::Status target_daemon::Listen() {
  std::string address = absl::StrCat(options_.rpc_address, ":", options_.rpc_port);
  absl::Status status =
      rpc_server::Listen(loop_, address, [this](kj::Own<kj::ConnectionReceiver> receiver) {
        server_ = std::make_unique<rpc_server>(kj::mv(receiver),
                                               MakeTargetGate(options_.cluster_key, hooks_));
        rpc_port_ = server_->port();
      });
  if (status.ok()) {
    loop_.Post([this] { Heartbeat(); });
  }
  return status;
}

absl::Status target_daemon::Announce(const target_announcement& announcement) {
  if (announcement.slots == 0 || announcement.slots > kMaxSlots) {
    return absl::InvalidArgumentError(absl::StrCat("slots must be 1 to ", kMaxSlots));
  }
  std::scoped_lock lock(announce_mutex_);
  if (stopping_) {
    return absl::UnavailableError("stopping");
  }
  if (told_.has_value()) {
    return *told_ == announcement
               ? absl::OkStatus()
               : absl::AlreadyExistsError("the target announced itself differently before");
  }
  told_ = announcement;
  announcer_ = std::thread([this, announcement] { AnnounceMain(announcement); });
  return absl::OkStatus();
}

void target_daemon::AnnounceMain(const target_announcement& target) {
  target_row row;
  row.incarnation.target = options_.target;
  row.service = target.service;
  row.failure_domain = options_.failure_domain;
  row.slots = target.slots;
  row.cores = target.cores;
  row.memory_mb = target.memory_mb;
  row.accelerator = target.accelerator;
  row.address = AnnouncedAddress();
  while (true) {
    absl::StatusOr<recorded_target_row> announced = wagtail::Announce(table_, row);
    if (announced.ok()) {
      loop_.Post([this, announced = *announced, target] { BeginWork(announced, target); });
      return;
    }
    std::unique_lock lock(announce_mutex_);
    stop_requested_.wait_for(lock, options_.announce_retry, [this] { return stopping_; });
    if (stopping_) {
      return;
    }
  }
}

std::string target_daemon::AnnouncedAddress() const {
  const std::string& address = options_.announced_rpc_address.empty()
                                   ? options_.rpc_address
                                   : options_.announced_rpc_address;
  uint16_t port = options_.announced_rpc_port == 0 ? rpc_port_ : options_.announced_rpc_port;
  return absl::StrCat(address, ":", port);
}

void target_daemon::BeginWork(recorded_target_row announced, const target_announcement& target) {
  start_ledger_options ledger;
  ledger.self = announced.row.incarnation;
  ledger.announced_revision = announced.revision;
  ledger.slots = target.slots;
  ledger.queue_limit = options_.queue_limit;
  ledger.id_lifetime = options_.id_lifetime;
  ledger_.emplace(ledger, [this](instant now) { return JudgeStart(now); });
  runner_ = std::make_unique<task_runner>(target.slots, target.url, [this](task_result result) {
    loop_.Post([this, result = std::move(result)]() mutable { OnFinished(std::move(result)); });
  });
  announced_ = std::move(announced);
}

target_gate_hooks target_daemon::MakeHooks() {
  target_gate_hooks hooks;
  hooks.self = [this] {
    Require(announced_.has_value(), "the target has not announced itself");
    return announced_->row.incarnation;
  };
  hooks.on_enter = [this](entry_incarnation entry, wire::EntryListener::Client listener) {
    Require(announced_.has_value(), "the target has not announced itself");
    sessions_.Add(entry, kj::mv(listener));
  };
  hooks.accept = [this](start_request request, uint64_t owner_uptime_ms) {
    return ledger_->Accept(std::move(request), owner_uptime_ms, MonotonicNow());
  };
  hooks.after_batch = [this] { Pump(); };
  hooks.settle = [this](std::span<const start_request> tasks, queued_tasks queued) {
    return ledger_->Settle(tasks, queued, MonotonicNow());
  };
  hooks.fence = [this](const job_key& job, uint64_t minted_uptime_ms) {
    fence_report report = ledger_->FenceJob(job, minted_uptime_ms, MonotonicNow());
    // The owner may only have been paused; its callers then need not wait for their deadlines.
    for (uint32_t index : report.withdrawn) {
      sessions_.TellNotStarted({.job = job, .index = index}, refusal::kFenced);
    }
    return report;
  };
  hooks.load = [this] { return Load(); };
  return hooks;
}

target_load target_daemon::Load() const {
  if (!ledger_.has_value()) {
    return {};
  }
  return {.running = ledger_->running(), .queued = ledger_->queued()};
}

void target_daemon::Pump() {
  while (auto next = ledger_->TakeNext(MonotonicNow())) {
    if (next->reason == refusal::kNone) {
      runner_->Start(std::move(next->request));
    } else {
      sessions_.TellNotStarted(next->request.key, next->reason);
    }
  }
}

void target_daemon::OnFinished(task_result result) {
  ledger_->Finish(result, MonotonicNow());
  sessions_.Tell(std::move(result));
  Pump();
}

void target_daemon::Heartbeat() {
  instant now = MonotonicNow();
  if (ledger_.has_value()) {
    ledger_->Expire(now);
    entry_sessions::report report{.enforced_version = gate_.version(),
                                  .ready = JudgeStart(now) == refusal::kNone};
    sessions_.Heartbeat(report, [this](const policy_answer& answer) {
      OnPolicy(answer);
      Pump();
    });
    Pump();
  }
  loop_.After(options_.freshness.period, [this] { Heartbeat(); });
}

void target_daemon::OnPolicy(const policy_answer& answer) {
  gate_.OnPolicy(answer.asked_at, answer.version, answer.admitted);
}

refusal target_daemon::JudgeStart(instant now) const {
  std::optional<start_refusal> reason = gate_.Check(now);
  if (!reason.has_value()) {
    return refusal::kNone;
  }
  return *reason == start_refusal::kStale ? refusal::kStale : refusal::kLeaving;
}

target_daemon_status target_daemon::Status() {
  target_daemon_status status;
  loop_.Run([this, &status] {
    status.announced = announced_.has_value();
    status.ready = status.announced && JudgeStart(MonotonicNow()) == refusal::kNone;
    status.load = Load();
    status.configuration_version = gate_.version();
    status.entries = sessions_.size();
    if (status.announced) {
      status.self = announced_->row.incarnation;
      status.counters = ledger_->counters();
      status.records = ledger_->record_count();
    }
  });
  return status;
}

void target_daemon::Stop() {
  {
    std::scoped_lock lock(announce_mutex_);
    if (stopping_) {
      return;
    }
    stopping_ = true;
  }
  stop_requested_.notify_all();
  if (announcer_.joinable()) {
    announcer_.join();
  }
  instant limit = MonotonicNow() + options_.stop_limit;
  std::optional<recorded_target_row> announced;
  loop_.Run([this, &announced] {
    if (ledger_.has_value()) {
      ledger_->BeginStop();
      Pump();
    }
    announced = announced_;
  });
  uint32_t running = 1;
  while (running > 0 && MonotonicNow() < limit) {
    loop_.Run([this, &running] { running = Load().running; });
    std::this_thread::sleep_for(kStopPoll);
  }
  if (announced.has_value()) {
    // Best effort: a row left as announced only makes recovery more careful.
    (void)Retire(table_, *announced);
  }
  runner_.reset();
  loop_.Run([this] { server_.reset(); });
  loop_.Stop();
}

}  // namespace wagtail
