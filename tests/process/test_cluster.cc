#include "tests/process/test_cluster.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

#include "http/http_client.h"
#include "security/digest.h"
#include "tests/process/start_audit.h"

namespace wagtail {

namespace {

using json = nlohmann::json;

constexpr int kOk = 200;
// Placeholder until the daemon's port is known.
constexpr uint16_t kNoDestination = 1;

std::filesystem::path NewFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "wagtail-process-XXXXXX").string();
  return mkdtemp(name.data());
}

std::string LoopbackUrl(uint16_t port) { return "http://127.0.0.1:" + std::to_string(port); }

// An unrelated connection may briefly occupy the port, so the start is retried. Known ports are not
// written again, because callers on other threads read them.
std::unique_ptr<child_process> StartListening(const std::string& program,
                                              const std::filesystem::path& folder,
                                              const std::string& name, const json& settings,
                                              child_ports& ports) {
  std::unique_ptr<child_process> started;
  std::optional<child_ports> listening;
  Eventually([&] {
    started = std::make_unique<child_process>(program, folder, name, settings.dump());
    listening = started->WaitListening();
    return listening.has_value();
  });
  if (!listening.has_value()) {
    return nullptr;
  }
  if (ports.http == 0) {
    ports = *listening;
  }
  return started;
}

}  // namespace

std::vector<target_spec> Courts(size_t count, const target_spec& like) {
  std::vector<target_spec> courts(count, like);
  size_t number = 0;
  for (target_spec& court : courts) {
    ++number;
    court.name = "court-" + std::to_string(number);
    court.failure_domain = "kandy-" + std::to_string(number);
  }
  return courts;
}

test_cluster::test_cluster(cluster_spec spec)
    : spec_(std::move(spec)),
      folder_(NewFolder()),
      entries_(spec_.entries),
      targets_(spec_.targets.size()) {}

test_cluster::~test_cluster() {
  entries_.clear();
  targets_.clear();
  platform_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string test_cluster::Start() {
  platform_ =
      StartListening("stand_in_platform", folder_, "platform", json::object(), platform_ports_);
  if (platform_ == nullptr) {
    return "the platform does not start";
  }
  for (size_t index = 0; index < entries_.size(); ++index) {
    if (!StartEntry(index)) {
      return "an entry does not start";
    }
  }
  for (size_t index = 0; index < targets_.size(); ++index) {
    if (!StartDaemon(index) || !StartTarget(index)) {
      return "a target does not start";
    }
  }
  json change = {{"change_id", "first"},
                 {"base_version", 0},
                 {"kind", "apply_text"},
                 {"text", ConfigurationText()}};
  http_response applied;
  bool is_applied = Eventually([&] {
    applied = Operator(0, "POST", "changes", change.dump());
    return applied.status == kOk;
  });
  if (!is_applied) {
    return "the configuration is refused: " + applied.body;
  }
  return WaitReady(targets_.size()) ? "" : "the targets do not become ready";
}

std::string test_cluster::TableUrl() const { return LoopbackUrl(platform_ports_.http); }
std::string test_cluster::EntryUrl(size_t index) const {
  return LoopbackUrl(entries_.at(index).ports.http);
}

bool test_cluster::StartEntry(size_t index) {
  entry_processes& entry = entries_.at(index);
  std::string name = "entry-" + std::to_string(index + 1);
  json settings = {{"name", name},
                   {"cluster_key", kClusterKey},
                   {"table_url", TableUrl()},
                   {"table_interval_ms", 200},
                   {"http_port", entry.ports.http},
                   {"rpc_port", entry.ports.rpc},
                   {"bootstrap_token_sha256", Sha256Hex(kOperatorToken)}};
  entry.process = StartListening("wagtail-entryd", folder_, name, settings, entry.ports);
  return entry.process != nullptr;
}

bool test_cluster::StartDaemon(size_t index) {
  target_processes& target = targets_.at(index);
  const target_spec& spec = spec_.targets.at(index);
  json settings = {{"target", spec.name},
                   {"failure_domain", spec.failure_domain},
                   {"cluster_key", kClusterKey},
                   {"table_url", TableUrl()},
                   {"http_port", target.daemon_ports.http},
                   {"rpc_port", target.daemon_ports.rpc}};
  if (spec.path == link_path::kRelayed) {
    if (target.relay == nullptr) {
      target.relay = std::make_unique<tcp_relay>(kNoDestination);
    }
    settings["announced_rpc_port"] = target.relay->port();
  }
  target.daemon = StartListening("wagtail-targetd", folder_, "daemon-" + spec.name, settings,
                                 target.daemon_ports);
  if (target.relay != nullptr) {
    target.relay->SetDestination(target.daemon_ports.rpc);
  }
  return target.daemon != nullptr;
}

bool test_cluster::StartTarget(size_t index) {
  target_processes& target = targets_.at(index);
  const target_spec& spec = spec_.targets.at(index);
  json settings = {
      {"target", spec.name},      {"service", kService},
      {"slots", spec.slots},      {"base_ms", spec.base_ms},
      {"announce_every_ms", 200}, {"daemon_url", LoopbackUrl(target.daemon_ports.http)}};
  target.target =
      StartListening("stand_in_target", folder_, spec.name, settings, target.target_ports);
  return target.target != nullptr;
}

bool test_cluster::RestartEntry(size_t index) {
  entries_.at(index).process->End();
  return StartEntry(index);
}

bool test_cluster::RestartDaemon(size_t index) {
  targets_.at(index).daemon->End();
  return StartDaemon(index);
}

std::string test_cluster::ConfigurationText() const {
  json service = {{"expected_run_ms", 50},
                  {"task_timeout_ms", spec_.job_deadline_ms},
                  {"job_deadline_ms", spec_.job_deadline_ms}};
  json text = {{"services", {{kService, service}, {kUnofferedService, service}}},
               {"teams",
                {{"club", {{"token_sha256", Sha256Hex(kClubToken)}, {"starts_per_second", 10'000}}},
                 {"orchard", {{"token_sha256", Sha256Hex(kOrchardToken)}}}}},
               {"operators", {{"on-call", {{"token_sha256", Sha256Hex(kOperatorToken)}}}}}};
  json domains = json::array();
  for (const target_spec& target : spec_.targets) {
    if (std::ranges::find(domains, json(target.failure_domain)) == domains.end()) {
      domains.push_back(target.failure_domain);
    }
  }
  text["failure_domains"] = domains;
  return text.dump();
}

http_response test_cluster::Operator(size_t entry, const std::string& method,
                                     const std::string& path, const std::string& body) {
  http_call call{.method = method, .url = EntryUrl(entry) + "/v1/operator/" + path, .body = body};
  call.headers["authorization"] = "Bearer " + std::string(kOperatorToken);
  call.timeout = std::chrono::seconds(15);
  absl::StatusOr<http_response> answer = CallHttp(call);
  return answer.ok() ? *std::move(answer) : http_response{.status = 0};
}

http_response test_cluster::Change(size_t entry, const std::string& change_id,
                                   uint64_t base_version, const std::string& kind,
                                   const std::string& subject) {
  json body = {{"change_id", change_id},
               {"base_version", base_version},
               {"kind", kind},
               {"subject", subject}};
  return Operator(entry, "POST", "changes", body.dump());
}

uint64_t test_cluster::Version(size_t entry) {
  json status = json::parse(Operator(entry, "GET", "configuration").body, nullptr, false);
  return status.is_object() ? status.value("version", uint64_t{0}) : 0;
}

bool test_cluster::WaitInForce(size_t entry, uint64_t version) {
  return Eventually([this, entry, version] {
    json response = json::parse(Operator(entry, "GET", "configuration").body, nullptr, false);
    return response.is_object() && response.value("version", uint64_t{0}) >= version &&
           response.value("in_force", false);
  });
}

std::vector<std::string> test_cluster::TargetsIn(size_t entry, std::string_view state) {
  std::vector<std::string> names;
  json response = json::parse(Operator(entry, "GET", "targets").body, nullptr, false);
  if (!response.is_object() || !response.contains("targets")) {
    return names;
  }
  for (const json& target : response["targets"]) {
    if (target.value("state", "") == state) {
      names.push_back(target.value("name", ""));
    }
  }
  return names;
}

bool test_cluster::WaitReady(size_t ready) {
  return Eventually([this, ready] {
    for (size_t index = 0; index < entries_.size(); ++index) {
      if (entries_[index].process->IsRunning() && TargetsIn(index, "ready").size() != ready) {
        return false;
      }
    }
    return true;
  });
}

json test_cluster::TargetCounters(size_t index) {
  std::string url = LoopbackUrl(targets_.at(index).target_ports.http);
  absl::StatusOr<http_response> answer = CallHttp({.url = url + "/control?tasks=1"});
  json counters = answer.ok() ? json::parse(answer->body, nullptr, false) : json();
  return counters.is_object() ? counters : json::object();
}

uint64_t test_cluster::TotalStarts() {
  uint64_t starts = 0;
  for (size_t index = 0; index < targets_.size(); ++index) {
    starts += Starts(index);
  }
  return starts;
}

void test_cluster::ControlTarget(size_t index, const json& behaviour) {
  (void)CallHttp({.method = "POST",
                  .url = LoopbackUrl(targets_.at(index).target_ports.http) + "/control",
                  .body = behaviour.dump()});
}

void test_cluster::ControlPlatform(const json& behaviour) {
  (void)CallHttp({.method = "POST", .url = TableUrl() + "/control", .body = behaviour.dump()});
}

void test_cluster::Record(const final_answer& answer) {
  std::scoped_lock lock(answers_mutex_);
  answers_.push_back(answer);
}

std::string test_cluster::FindEndedProcess() {
  auto has_crashed = [](child_process* child) {
    return child != nullptr && !child->IsRunning() && !child->was_signalled();
  };
  for (entry_processes& entry : entries_) {
    if (has_crashed(entry.process.get())) {
      return "an entry ended by itself: " + entry.process->StandardError();
    }
  }
  for (target_processes& target : targets_) {
    if (has_crashed(target.daemon.get())) {
      return "a daemon ended by itself: " + target.daemon->StandardError();
    }
    if (has_crashed(target.target.get())) {
      return "a target ended by itself: " + target.target->StandardError();
    }
  }
  return "";
}

std::string test_cluster::FindViolation() {
  auto resume = [](child_process* child) {
    if (child != nullptr && child->IsRunning()) {
      kill(child->pid(), SIGCONT);
    }
  };
  for (entry_processes& entry : entries_) {
    resume(entry.process.get());
  }
  start_audit audit(kClusterKey);
  for (size_t index = 0; index < targets_.size(); ++index) {
    resume(targets_[index].daemon.get());
    // Dispatched tasks may still start until the target is idle.
    Eventually([this, index] { return Running(index) == 0; });
    audit.AddTarget(TargetCounters(index));
  }
  std::scoped_lock lock(answers_mutex_);
  std::string violation = audit.FindDuplicateStart();
  for (const final_answer& answer : answers_) {
    violation = violation.empty() ? audit.FindContradiction(answer) : violation;
  }
  return violation.empty() ? FindEndedProcess() : violation;
}

}  // namespace wagtail
