#include "entry/entry_daemon.h"

#include <algorithm>
#include <future>
#include <optional>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "entry/answer_json.h"
#include "entry/background_worker.h"
#include "entry/entry_context.h"
#include "entry/entry_gate.h"
#include "entry/entry_registration.h"
#include "entry/job_api.h"
#include "entry/key_binding.h"
#include "entry/operator_api.h"
#include "entry/table_watcher.h"
#include "http/http_server.h"
#include "logging/logging.h"
#include "metrics/process_metrics.h"
#include "rpc/require.h"
#include "rpc/rpc_server.h"
#include "security/digest.h"

namespace wagtail {

namespace {

constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr duration kSweepInterval = std::chrono::hours(1);
// Time for answers to requests forwarded by other entries to be sent before shutdown.
constexpr duration kAnswerFlushDelay = std::chrono::milliseconds(50);
constexpr duration kStopPollInterval = std::chrono::milliseconds(10);

// With the same tie-breaks all entries would choose the same target at once.
placement_options PlacementOf(const entry_daemon_options& options, entry_incarnation self) {
  placement_options placement = options.placement;
  placement.seed = self.nonce;
  placement.failure_domain = options.failure_domain;
  return placement;
}

}  // namespace

/// Parts of the daemon; each member depends only on those declared before it.
struct entry_daemon::parts {
  parts(entry_daemon_options given, table& platform_table);

  absl::Status ListenForPeers();
  absl::Status ListenForCallers();
  void OnTableRound(const table_round& round);
  void OnTargetChanges(const table_changes& changes);
  void Tick();
  void Register();
  void SweepOldKeys();
  void WriteRegistration(entry_state state);
  void PublishView();
  void ApplyQuotaShares();
  target_policy PolicyFor(const target_row& row, const target_report& report);
  kj::Promise<fence_report> Fence(const target_incarnation& target, const job_key& job,
                                  uint64_t minted_uptime_ms);
  http_response Route(const http_request& request);
  http_response RouteJobs(const http_request& request);
  http_response ShowMetrics();

  entry_daemon_options options;
  table& platform_table;
  entry_incarnation self{.nonce = RandomNonce64()};
  job_id_codec ids;
  metrics_registry registry;
  entry_metrics metrics{registry};
  team_quotas quotas;
  snapshot_cell<entry_view> view{std::make_unique<const entry_view>()};
  std::atomic<uint64_t> next_sequence = 0;
  std::atomic<uint64_t> registry_revision = 0;
  bool stopping = false;
  uint16_t rpc_port = 0;
  instant next_sweep = MonotonicNow() + kSweepInterval;
  bool registered = false;
  bool registration_under_way = false;
  std::unique_ptr<background_worker> writer = std::make_unique<background_worker>();
  event_loop loop;
  configuration_controller configuration;
  entry_registry entries;
  target_registry targets;
  std::unique_ptr<dispatch_controller> dispatch;
  std::unique_ptr<peer_links> peers;
  std::unique_ptr<configuration_propagator> propagator;
  std::unique_ptr<recovery_controller> recoveries;
  std::optional<entry_context> context;
  std::unique_ptr<job_service> jobs;
  std::unique_ptr<job_api> callers;
  std::unique_ptr<operator_api> operators;
  std::unique_ptr<rpc_server> server;
  std::unique_ptr<table_watcher> watcher;
  std::unique_ptr<http_server> http;
};

entry_daemon::parts::parts(entry_daemon_options given, table& platform_table)
    : options(std::move(given)),
      platform_table(platform_table),
      ids(options.cluster_key),
      configuration([this](const wagtail::configuration& current) {
        dispatch->ApplyConfiguration(current);
        ApplyQuotaShares();
        PublishView();
      }) {
  AddProcessMetrics(registry);
  loop.Run([this] {
    dispatch = std::make_unique<dispatch_controller>(
        loop,
        dispatch_controller_options{.dispatcher = options.dispatcher,
                                    .cluster_key = options.cluster_key,
                                    .self = self,
                                    .self_name = options.name},
        MakePlacement(PlacementOf(options, self)),
        [this](const target_row& row, const target_report& report) {
          return PolicyFor(row, report);
        });
    peers = std::make_unique<peer_links>(
        loop, peer_links_options{.cluster_key = options.cluster_key, .self = self});
    propagator = std::make_unique<configuration_propagator>(
        configuration_propagator::parts{.loop = loop,
                                        .peers = *peers,
                                        .configuration = configuration,
                                        .entries = entries,
                                        .self = self},
        options.freshness);
    recoveries = std::make_unique<recovery_controller>(
        loop, [this](const target_incarnation& target, const job_key& job,
                     uint64_t minted_uptime_ms) { return Fence(target, job, minted_uptime_ms); });
  });
}

absl::Status entry_daemon::parts::ListenForPeers() {
  std::string address = absl::StrCat(options.rpc_address, ":", options.rpc_port);
  return rpc_server::Listen(loop, address, [this](kj::Own<kj::ConnectionReceiver> receiver) {
    rpc_port = static_cast<uint16_t>(receiver->getPort());
    context.emplace(entry_context{.self = self,
                                  .rpc_address = absl::StrCat(options.rpc_address, ":", rpc_port),
                                  .loop = loop,
                                  .platform_table = platform_table,
                                  .ids = ids,
                                  .metrics = metrics,
                                  .quotas = quotas,
                                  .view = view,
                                  .next_sequence = next_sequence,
                                  .registry_revision = registry_revision,
                                  .dispatch = *dispatch,
                                  .configuration = configuration,
                                  .propagator = *propagator,
                                  .targets = targets,
                                  .peers = *peers,
                                  .recoveries = *recoveries});
    jobs = std::make_unique<job_service>(*context);
    server = std::make_unique<rpc_server>(kj::mv(receiver),
                                          MakeEntryGate(options.cluster_key, *context, *jobs));
  });
}

absl::Status entry_daemon::parts::ListenForCallers() {
  callers = std::make_unique<job_api>(*context, *jobs);
  operators = std::make_unique<operator_api>(*context, *jobs, options.bootstrap_token_digest);
  absl::StatusOr<std::unique_ptr<http_server>> started =
      http_server::Start({.address = options.http_address, .port = options.http_port},
                         [this](const http_request& request) { return Route(request); });
  if (!started.ok()) {
    return started.status();
  }
  http = *std::move(started);
  return absl::OkStatus();
}

void entry_daemon::parts::OnTableRound(const table_round& round) {
  if (!round.succeeded) {
    LogFact(log_level::kWarning, "table_read_failed");
    return;
  }
  table_changes changes{.revision = round.revision, .rows = round.rows};
  if (!entries.OnChanges(changes).empty()) {
    ApplyQuotaShares();
  }
  OnTargetChanges(changes);
  propagator->OnTableRead(round.started, changes);
  registry_revision.store(targets.revision());
}

void entry_daemon::parts::OnTargetChanges(const table_changes& changes) {
  std::vector<target_event> events = targets.OnChanges(changes);
  for (const target_event& event : events) {
    switch (event.kind) {
      case row_event_kind::kAdded:
      case row_event_kind::kReplaced:
      case row_event_kind::kUpdated:
        dispatch->OnTargetRow(*event.row, targets.Find(event.name)->revision);
        break;
      case row_event_kind::kRemoved:
        dispatch->OnTargetErased(event.name);
        break;
      case row_event_kind::kMalformed:
        LogFact(log_level::kError, "target_row_unreadable",
                {{"target", event.name}, {"error", event.message}});
        break;
    }
  }
  if (!events.empty()) {
    std::vector<target_incarnation> present;
    for (const target_row& row : targets.Present()) {
      present.push_back(row.incarnation);
    }
    propagator->decisions().OnTargets(present);
  }
}

void entry_daemon::parts::Tick() {
  Register();
  SweepOldKeys();
  propagator->Tick();
  loop.After(options.freshness.period, [this] { Tick(); });
}

void entry_daemon::parts::SweepOldKeys() {
  instant now = MonotonicNow();
  if (now < next_sweep) {
    return;
  }
  next_sweep = now + kSweepInterval;
  writer->Post([this] {
    absl::StatusOr<size_t> erased = SweepKeys(platform_table, absl::ToUnixSeconds(absl::Now()));
    LogFact(log_level::kInfo, "keys_swept",
            {{"erased", erased.ok() ? std::to_string(*erased) : MessageOf(erased.status())}});
  });
}

void entry_daemon::parts::Register() {
  if (registered || registration_under_way || stopping) {
    return;
  }
  registration_under_way = true;
  writer->Post([this] { WriteRegistration(entry_state::kServing); });
}

void entry_daemon::parts::WriteRegistration(entry_state state) {
  entry_row wanted{.name = options.name,
                   .incarnation = self,
                   .http_address = absl::StrCat(options.http_address, ":", http->port()),
                   .rpc_address = absl::StrCat(options.rpc_address, ":", rpc_port),
                   .failure_domain = options.failure_domain,
                   .state = state};
  absl::Status written = RegisterEntry(platform_table, wanted);
  if (!written.ok()) {
    LogFact(log_level::kWarning, "registration_failed", {{"error", MessageOf(written)}});
  }
  loop.Post([this, is_registered = written.ok()] {
    registered = registered || is_registered;
    registration_under_way = false;
  });
}

void entry_daemon::parts::PublishView() {
  view.Publish(
      std::make_unique<const entry_view>(MakeEntryView(configuration.current(), stopping)));
}

void entry_daemon::parts::ApplyQuotaShares() {
  // The load balancer spreads callers evenly, so each entry grants its share of a team's quota; a
  // share always admits one job of the maximum size.
  auto shares = static_cast<uint32_t>(std::max<size_t>(1, entries.Present().size()));
  for (const auto& [name, team] : configuration.current().teams) {
    team_limits limits;
    limits.starts_per_second = team.starts_per_second / shares;
    limits.burst_tasks = std::max(team.burst_tasks / shares, kMaxTasksPerJob);
    limits.max_tasks_in_flight = std::max(team.max_tasks_in_flight / shares, kMaxTasksPerJob);
    quotas.SetLimits(name, limits);
  }
}

target_policy entry_daemon::parts::PolicyFor(const target_row& row, const target_report& report) {
  propagator->decisions().OnTargetConfirmed(row.incarnation, report.enforced_version,
                                            MonotonicNow());
  return {.configuration_version = configuration.revision(),
          .admitted = configuration.current().Admits(row.incarnation.target, row.failure_domain)};
}

kj::Promise<fence_report> entry_daemon::parts::Fence(const target_incarnation& target,
                                                     const job_key& job,
                                                     uint64_t minted_uptime_ms) {
  target_link* link = dispatch->LinkTo(target.target);
  Require(link != nullptr && link->options().target == target, "no link to the target incarnation");
  return link->Fence(job, minted_uptime_ms);
}

http_response entry_daemon::parts::Route(const http_request& request) {
  std::string_view path = request.path;
  if (path.starts_with("/v1/job")) {
    return RouteJobs(request);
  }
  if (path.starts_with("/v1/operator/")) {
    return operators->Handle(request);
  }
  if (path == "/healthz") {
    return RespondJson(R"({"alive":true})");
  }
  if (path == "/readyz") {
    bool is_ready =
        view.Read([](const entry_view& current_view) { return current_view.is_ready(); });
    return is_ready
               ? RespondJson(R"({"ready":true})")
               : RespondError(kServiceUnavailable, "not_ready", "the entry accepts no work now");
  }
  if (path == "/metrics") {
    return ShowMetrics();
  }
  return RespondError(kNotFound, "no_such_endpoint", path);
}

http_response entry_daemon::parts::ShowMetrics() {
  entry_metrics_snapshot snapshot;
  loop.Run([this, &snapshot] {
    dispatcher& decisions = dispatch->decisions();
    snapshot.counters = decisions.counters();
    snapshot.jobs_in_progress = decisions.jobs_in_progress();
    snapshot.waiting_tasks = decisions.waiting_count();
    snapshot.targets_linked =
        static_cast<uint64_t>(std::ranges::count_if(dispatch->Targets(), &target_status::is_up));
    snapshot.configuration_version = configuration.current().version;
    instant now = MonotonicNow();
    snapshot.in_force = propagator->decisions().IsInForce(now);
    if (std::optional<duration> age = propagator->decisions().ReadAge(now); age.has_value()) {
      snapshot.read_age_seconds = ToSeconds(*age);
    }
  });
  metrics.Update(snapshot);
  http_response response{.status = 200, .headers = {}, .body = registry.Write()};
  response.headers["content-type"] = "text/plain; version=0.0.4";
  return response;
}

http_response entry_daemon::parts::RouteJobs(const http_request& request) {
  std::string_view path = request.path;
  if (request.method == "POST" && path == "/v1/job-ids") {
    return callers->MintIds(request);
  }
  if (request.method == "POST" && path == "/v1/jobs") {
    return callers->SubmitWithoutId(request);
  }
  if (request.method == "PUT" && path.starts_with("/v1/jobs/") && !path.ends_with("/cancel")) {
    return callers->SubmitJob(request);
  }
  if (request.method == "POST" && path.starts_with("/v1/jobs/") && path.ends_with("/cancel")) {
    return callers->CancelJob(request);
  }
  return RespondError(kNotFound, "no_such_endpoint", path);
}

entry_daemon::entry_daemon(entry_daemon_options options, table& table)
    : parts_(std::make_unique<parts>(std::move(options), table)) {}

entry_daemon::~entry_daemon() { Stop(); }

absl::Status entry_daemon::Start() {
  if (absl::Status listening = parts_->ListenForPeers(); !listening.ok()) {
    return listening;
  }
  if (absl::Status listening = parts_->ListenForCallers(); !listening.ok()) {
    return listening;
  }
  parts_->watcher = std::make_unique<table_watcher>(
      parts_->platform_table, parts_->options.table_interval,
      [parts = parts_.get()](const table_round& round) {
        parts->loop.Post([parts, round] { parts->OnTableRound(round); });
      });
  parts_->loop.Post([parts = parts_.get()] { parts->Tick(); });
  return absl::OkStatus();
}

void entry_daemon::Stop() {
  if (parts_ == nullptr) {
    return;
  }
  parts& all = *parts_;
  all.loop.Run([&all] {
    all.stopping = true;
    all.PublishView();
    all.dispatch->BeginStop();
  });
  instant limit = MonotonicNow() + all.options.stop_timeout;
  size_t in_progress = 1;
  while (in_progress > 0 && MonotonicNow() < limit) {
    all.loop.Run(
        [&all, &in_progress] { in_progress = all.dispatch->decisions().jobs_in_progress(); });
    std::this_thread::sleep_for(kStopPollInterval);
  }
  all.loop.Run([&all] { all.dispatch->EndAll("stopping"); });
  std::this_thread::sleep_for(kAnswerFlushDelay);
  all.loop.Run([&all] { all.server.reset(); });
  if (all.http != nullptr) {
    // Best effort: an entry that fails to deregister counts as present until it is replaced.
    all.WriteRegistration(entry_state::kStopped);
  }
  if (all.http != nullptr) {
    all.http->Stop();
  }
  all.watcher.reset();
  all.writer.reset();
  all.loop.Stop([&all] {
    all.recoveries.reset();
    all.propagator.reset();
    all.peers.reset();
    all.dispatch.reset();
  });
  parts_.reset();
}

uint16_t entry_daemon::http_port() const { return parts_->http->port(); }
uint16_t entry_daemon::rpc_port() const { return parts_->rpc_port; }

}  // namespace wagtail
