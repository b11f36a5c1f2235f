#include "tests/fault_soak/soak_cluster.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "tests/fault_soak/address_prefix.h"

namespace wagtail::leased {
namespace {

using json = nlohmann::json;

constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kControlPort = 8166;
constexpr duration kPollInterval = std::chrono::milliseconds(10);
constexpr const char* kEntryProgram = "wagtail-dispatchd";
constexpr const char* kAgentProgram = "wagtail-agentd";

/// @param folder of the program; empty: $WAGTAIL_BIN
std::string ProgramPath(const std::filesystem::path& folder, const char* program) {
  return (folder / program).string();
}

/// Removes an incomplete last line, as a killed process may leave it.
void RemovePartialLine(const std::filesystem::path& output) {
  std::ifstream file(output);
  std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!text.empty() && !text.ends_with('\n')) {
    std::filesystem::resize_file(output, text.rfind('\n') + 1);
  }
}

}  // namespace

soak_cluster::soak_cluster(const soak_options& options)
    : options_(options), random_(options_.seed), prefix_(ReserveAddressPrefix()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "wagtail-fault-soak-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  store_ = std::make_unique<soak_store>(prefix_ + "1.1", prefix_ + "2.", prefix_ + "8.");
  store_link_ =
      std::make_unique<tcp_relay>(loopback_address{.ip = prefix_ + "1.2"}, store_->address());
  WriteConfiguration();
  AddVms();
}

soak_cluster::~soak_cluster() {
  callers_.clear();
  entries_.clear();
  agents_.clear();
}

std::string soak_cluster::Domain(size_t number) {
  constexpr size_t kDomains = 3;
  return absl::StrCat("zone-", number % kDomains);
}

void soak_cluster::AddVms() {
  for (size_t number = 0; number < options_.entries; ++number) {
    auto entry = std::make_unique<cluster_vm>();
    entry->name = absl::StrCat("entry-", number);
    entry->program = ProgramPath(options_.builds.entries, kEntryProgram);
    entry->ip = absl::StrCat(prefix_, "2.", number + 1);
    entry->domain = Domain(number);
    entry->sessions = std::make_unique<tcp_relay>(
        loopback_address{.ip = absl::StrCat(prefix_, "8.", number + 1), .port = kSessionPort},
        loopback_address{.ip = entry->ip, .port = kSessionPort});
    entries_.push_back(std::move(entry));
  }
  for (size_t number = 0; number < options_.agents; ++number) {
    auto agent = std::make_unique<cluster_vm>();
    agent->name = absl::StrCat("agent-", number);
    agent->program = ProgramPath(options_.builds.agents, kAgentProgram);
    agent->ip = absl::StrCat(prefix_, "3.", number + 1);
    agent->domain = Domain(number);
    agent->target = std::make_unique<soak_target>(
        soak_target_options{.id = absl::StrCat("i-", number),
                            .ip = absl::StrCat(prefix_, "4.", number + 1),
                            .domain = agent->domain,
                            .control = absl::StrCat(agent->ip, ":", kControlPort),
                            .keeps_id = number % 2 == 1,
                            .run_time = std::chrono::milliseconds(60 + 70 * (number % 4)),
                            .seed = options_.seed + number},
        checker_);
    agents_.push_back(std::move(agent));
  }
  for (auto* list : {&entries_, &agents_}) {
    std::ranges::for_each(*list, [this](const auto& each) { StartVm(*each); });
  }
}

std::string soak_cluster::SettingsOf(const cluster_vm& vm) const {
  std::string seeds;
  for (size_t number = 0; number < options_.entries; ++number) {
    absl::StrAppend(&seeds, number == 0 ? "" : ",", prefix_, "8.", number + 1, ":", kControlPort);
  }
  return absl::StrCat(
      "node=", vm.name, "\nip=", vm.ip, "\nzone=", vm.domain, "\nlisten.front=", vm.ip, ":",
      kFrontPort, "\nlisten.ready=", vm.ip, ":", kReadyPort, "\nlisten.control=", vm.ip, ":",
      kControlPort, "\nport_range=", kSessionPort, ",", kSessionPort + 15, "\nseeds=", seeds,
      "\nplatform.addr=", prefix_, "1.2:", store_link_->port(),
      "\nbounds.grace_s=", ToSeconds(kGrace), "\nbounds.max_hold_ms=1000\nbounds.resend_ms=1300\n");
}

void soak_cluster::StartVm(cluster_vm& vm) {
  vm.stopping = false;
  RemovePartialLine(folder_ / (vm.name + ".out"));
  vm.process = std::make_unique<child_process>(vm.program, folder_, vm.name, SettingsOf(vm),
                                               settings_way::kNodeFile);
  if (!options_.builds.next.empty()) {
    bool is_entry = vm.target == nullptr;
    vm.program = ProgramPath(options_.builds.next, is_entry ? kEntryProgram : kAgentProgram);
  }
}

void soak_cluster::WriteConfiguration() {
  json route = {{"name", "r-1"},       {"host", kSoakHost},       {"path_prefix", kSoakPath},
                {"service", "lights"}, {"max_attempts", 4},       {"stretch", 2.0},
                {"timeout_ms", 3000},  {"target_latency_ms", 300}};
  store_->Put("op", "config",
              json{{"version", ++version_},
                   {"routes", {route}},
                   {"services", {{{"name", "lights"}, {"rejects_overload", false}}}}}
                  .dump());
}

duration soak_cluster::RandomDuration(int64_t min_ms, int64_t max_ms) {
  std::uniform_int_distribution<int64_t> distribution(min_ms, max_ms);
  return std::chrono::milliseconds(distribution(random_));
}

soak_cluster::cluster_vm& soak_cluster::RandomVm(bool entry) {
  auto& list = entry ? entries_ : agents_;
  return *list[random_() % list.size()];
}

void soak_cluster::Schedule(duration delay, action work) {
  due_.emplace(MonotonicNow() + delay, std::move(work));
}

void soak_cluster::RunDue() {
  while (!due_.empty() && due_.begin()->first <= MonotonicNow()) {
    action work = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    work();
  }
  RestartExitedProcesses();
}

void soak_cluster::RestartExitedProcesses() {
  for (auto* list : {&entries_, &agents_}) {
    for (const auto& each : *list) {
      if (each->process == nullptr || each->process->IsRunning()) {
        continue;
      }
      if (!each->stopping) {
        std::optional<int> code = each->process->WaitExit(duration::zero());
        checker_.ReportViolation(absl::StrCat(each->name, " ended by itself: ", *code));
      }
      each->process.reset();
      StartVm(*each);
    }
  }
}

void soak_cluster::EndFaults() {
  while (!due_.empty()) {
    RunDue();
    std::this_thread::sleep_for(kPollInterval);
  }
  ReturnDomain();
  Eventually([this] {
    RestartExitedProcesses();
    return std::ranges::all_of(entries_, [](const auto& each) { return !each->stopping; }) &&
           std::ranges::all_of(agents_, [](const auto& each) { return !each->stopping; });
  });
}

std::vector<loopback_address> soak_cluster::FrontAddresses() const {
  std::vector<loopback_address> fronts;
  for (const auto& entry : entries_) {
    fronts.push_back({.ip = entry->ip, .port = kFrontPort});
  }
  return fronts;
}

std::vector<std::string> soak_cluster::Run() {
  CheckRecovery();
  for (size_t number = 0; number < options_.callers; ++number) {
    callers_.push_back(std::make_unique<soak_caller>(random_(), FrontAddresses(), checker_));
    callers_.back()->RunOnThread();
  }
  if (options_.builds.replace != soak_builds::replacement::kNone) {
    ReplaceEveryVm();
  }
  instant end = MonotonicNow() + options_.length;
  instant next = MonotonicNow();
  while (MonotonicNow() < end) {
    RunDue();
    if (MonotonicNow() >= next) {
      InjectFault();
      next = MonotonicNow() + RandomDuration(20, 600);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  EndFaults();
  std::ranges::for_each(callers_, [](const auto& each) { each->RequestStop(); });
  std::ranges::for_each(callers_, [](const auto& each) { each->Stop(); });
  CheckRecovery();
  CheckEvacuation();
  CheckPlannedStop();
  checker_.CheckAtEnd();
  CheckLogs();
  return checker_.violations();
}

}  // namespace wagtail::leased
