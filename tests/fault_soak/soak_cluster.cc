#include "tests/fault_soak/soak_cluster.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <future>
#include <iterator>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "tests/fault_soak/address_prefix.h"

namespace wagtail::leased {
namespace {

using json = nlohmann::json;

constexpr uint16_t kFrontPort = 8161;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kControlPort = 8166;
constexpr size_t kDomains = 3;
constexpr duration kPollInterval = std::chrono::milliseconds(10);
/// Same as in the platform's settings.
constexpr duration kGrace = std::chrono::seconds(6);
constexpr duration kEvacuationTime = std::chrono::seconds(5);
/// Between the start of one replaced VM and the stop of the next.
constexpr duration kReplacementPause = std::chrono::milliseconds(700);
constexpr const char* kEntryProgram = "wagtail-dispatchd";
constexpr const char* kAgentProgram = "wagtail-agentd";

/// @param folder of the program; empty: $WAGTAIL_BIN
std::string ProgramPath(const std::filesystem::path& folder, const char* program) {
  return (folder / program).string();
}

std::string Domain(size_t number) { return absl::StrCat("zone-", number % kDomains); }

/// Writes down what the threads of a process that does not end are doing, as far as /proc tells.
void NoteThreads(pid_t pid, const std::filesystem::path& note) {
  std::ofstream out(note);
  std::error_code gone;
  std::filesystem::directory_iterator thread(absl::StrCat("/proc/", pid, "/task"), gone);
  for (; thread != std::filesystem::directory_iterator(); thread.increment(gone)) {
    for (const char* name : {"status", "wchan", "syscall", "stack"}) {
      std::ifstream file(thread->path() / name);
      out << name << ": "
          << std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()}
          << "\n";
    }
  }
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

void soak_cluster::LogFault(const char* kind, const std::string& where) {
  ++faults_;
  std::ofstream(folder_ / "faults.txt", std::ios::app)
      << run_checker::Now() << " " << kind << " " << where << "\n";
}

void soak_cluster::InjectFault() {
  bool entry = random_() % 2 == 0;
  cluster_vm& vm = RandomVm(entry);
  cluster_vm& agent = RandomVm(false);
  constexpr unsigned kKinds = 28;
  switch (random_() % kKinds) {
    case 0:
    case 1:
    case 2:
      Kill(vm);
      break;
    case 3:
    case 4:
    case 5:
      Freeze(vm);
      break;
    case 6:
    case 7:
      StopGracefully(vm);
      break;
    case 8:
      ChangeSettings(vm);
      break;
    case 9:
    case 10:
    case 11:
      CrashTarget(agent);
      break;
    case 12:
    case 13:
      DisturbLink(agent.target->relay());
      break;
    case 14:
    case 15:
    case 16:
      DisturbLink(*RandomVm(true).sessions);
      break;
    case 17:
      DisturbLink(*store_link_);
      break;
    case 18:
    case 19:
      DisturbStore();
      break;
    case 20:
    case 21:
      DisturbTarget(agent);
      break;
    case 22:
      ChangePlan();
      break;
    case 23:
    case 24:
    case 25:
    case 26:
      LeaveAsPlanned(agent);
      break;
    default:
      PowerLoss();
      break;
  }
}

void soak_cluster::Kill(cluster_vm& vm) {
  LogFault("Kill", vm.name);
  if (vm.process == nullptr) {
    return;
  }
  vm.process->End();
  vm.process.reset();
  Schedule(RandomDuration(50, 2500), [this, &vm] { StartVm(vm); });
}

void soak_cluster::Freeze(cluster_vm& vm) {
  LogFault("Freeze", vm.name);
  if (vm.process == nullptr || vm.stopping) {
    return;
  }
  pid_t frozen_pid = vm.process->pid();
  vm.process->Kill(SIGSTOP);
  Schedule(RandomDuration(100, 3000), [&vm, frozen_pid] {
    if (vm.process != nullptr && vm.process->pid() == frozen_pid) {
      vm.process->Kill(SIGCONT);
    }
  });
}

void soak_cluster::StopGracefully(cluster_vm& vm) {
  LogFault("StopGracefully", vm.name);
  if (vm.process == nullptr || vm.stopping) {
    return;
  }
  vm.stopping = true;
  vm.process->Kill(SIGTERM);
  pid_t stopping_pid = vm.process->pid();
  Schedule(kGrace, [&vm, stopping_pid] {
    if (vm.process != nullptr && vm.process->pid() == stopping_pid) {
      vm.process->Kill(SIGCONT);
      vm.process->Kill(SIGKILL);
    }
  });
}

void soak_cluster::ReplaceEveryVm() {
  std::vector<cluster_vm*> order;
  for (auto* list : {&entries_, &agents_}) {
    std::ranges::transform(*list, std::back_inserter(order),
                           [](const auto& each) { return each.get(); });
  }
  if (options_.builds.replace == soak_builds::replacement::kAgentsFirst) {
    std::ranges::reverse(order);
  }
  for (cluster_vm* vm : order) {
    pid_t former_pid = vm->process->pid();
    StopGracefully(*vm);
    bool is_back = Eventually([&] {
      RunDue();
      return vm->process != nullptr && vm->process->pid() != former_pid;
    });
    if (!is_back) {
      checker_.ReportViolation(vm->name + " did not come back after its replacement");
    }
    std::this_thread::sleep_for(kReplacementPause);
  }
}

void soak_cluster::ChangeSettings(cluster_vm& vm) {
  LogFault("ChangeSettings", vm.name);
  if (vm.process == nullptr) {
    return;
  }
  std::ofstream(vm.process->settings_path(), std::ios::app) << "new.field=1\n";
  if (random_() % 2 == 0) {
    vm.process->Kill(SIGHUP);
  }
}

void soak_cluster::RestartTarget(cluster_vm& agent, std::vector<soak_target::message> late) {
  agent.target->Restart();
  Schedule(RandomDuration(0, 900), [&agent, late = std::move(late)] {
    std::ranges::for_each(late, [&agent](const auto& each) { agent.target->Send(each); });
  });
}

void soak_cluster::CrashTarget(cluster_vm& agent) {
  LogFault("CrashTarget", agent.name);
  std::vector<soak_target::message> late;
  if (agent.target->Incarnation().has_value() && random_() % 2 == 0) {
    late.push_back(agent.target->Heartbeat());
  }
  agent.target->Crash();
  Schedule(RandomDuration(200, 3000),
           [this, &agent, late = std::move(late)] { RestartTarget(agent, late); });
}

void soak_cluster::LeaveAsPlanned(cluster_vm& agent) {
  LogFault("LeaveAsPlanned", agent.name);
  std::optional<uint64_t> incarnation = agent.target->Incarnation();
  if (!incarnation.has_value()) {
    return;
  }
  std::vector<soak_target::message> late = {agent.target->Heartbeat()};
  agent.target->Drain();
  bool tells_incarnation = random_() % 2 == 0;
  late.push_back(agent.target->Deregistration(tells_incarnation));
  Schedule(RandomDuration(100, 600), [this, &agent, incarnation, late = std::move(late)] {
    agent.target->Send(late.back());
    Schedule(RandomDuration(20, 1500),
             [this, &agent, incarnation, late] { EndTarget(agent, *incarnation, late); });
  });
}

void soak_cluster::EndTarget(cluster_vm& agent, uint64_t incarnation,
                             std::vector<soak_target::message> late) {
  if (agent.target->Incarnation() != incarnation) {
    return;  // it has crashed meanwhile
  }
  agent.target->Crash();
  Schedule(RandomDuration(0, 1500),
           [this, &agent, late = std::move(late)] { RestartTarget(agent, late); });
}

void soak_cluster::DisturbLink(tcp_relay& link) {
  auto kind = random_() % 5;
  LogFault("DisturbLink", absl::StrCat("port ", link.port(), ", kind ", kind));
  switch (kind) {
    case 0:
      link.SetMode(relay_mode::kSilent);
      break;
    case 1:
      link.SetMode(relay_mode::kBlackHole);
      break;
    case 2:
      link.SetMode(relay_mode::kOneWay);
      break;
    case 3:
      link.SetMode(relay_mode::kCut);
      break;
    default:
      link.SetDelay(RandomDuration(0, 300), RandomDuration(0, 300));
      break;
  }
  Schedule(RandomDuration(100, 2000), [&link] {
    link.SetDelay(duration::zero(), duration::zero());
    link.SetMode(relay_mode::kPass);
  });
}

void soak_cluster::DisturbStore() {
  LogFault("DisturbStore", "store");
  constexpr std::array kFaultModes = {soak_store::fault_mode::kDown, soak_store::fault_mode::kSlow,
                                      soak_store::fault_mode::kLoseAnswers};
  store_->SetFaultMode(kFaultModes[random_() % kFaultModes.size()]);
  Schedule(RandomDuration(300, 4000),
           [this] { store_->SetFaultMode(soak_store::fault_mode::kNone); });
}

void soak_cluster::DisturbTarget(cluster_vm& agent) {
  LogFault("DisturbTarget", agent.name);
  bool late = random_() % 2 == 0;
  agent.target->late_orders = late ? 0.2 : 0;
  agent.target->SetFailing(late ? 0 : 1);
  Schedule(RandomDuration(300, 3000), [&agent] {
    agent.target->late_orders = 0;
    agent.target->SetFailing(0);
  });
}

void soak_cluster::ChangePlan() {
  LogFault("ChangePlan", "plan");
  if (random_() % 2 == 0) {
    WriteConfiguration();
    return;
  }
  if (leaving_domain_.empty()) {
    EvacuateDomain(Domain(random_()));
  } else {
    ReturnDomain();
  }
}

void soak_cluster::EvacuateDomain(const std::string& domain) {
  leaving_domain_ = domain;
  store_->Put("op", "evacuate/" + domain, "{}");
}

void soak_cluster::ReturnDomain() {
  if (!leaving_domain_.empty()) {
    store_->Put("op", "evacuate/" + std::exchange(leaving_domain_, ""), "");
  }
}

void soak_cluster::PowerLoss() {
  LogFault("PowerLoss", "all");
  for (auto* list : {&entries_, &agents_}) {
    std::ranges::for_each(*list, [this](const auto& each) { Kill(*each); });
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

void soak_cluster::CheckRecovery() {
  constexpr unsigned kConsecutiveJobs = 4;
  for (const loopback_address& front : FrontAddresses()) {
    unsigned consecutive_jobs = 0;
    soak_caller caller(random_(), {front}, checker_);
    bool served = Eventually([&] {
      consecutive_jobs = caller.SubmitJob(true) ? consecutive_jobs + 1 : 0;
      return consecutive_jobs >= kConsecutiveJobs;
    });
    if (!served) {
      checker_.ReportViolation("does not complete jobs after the faults: " + front.ip);
    }
  }
}

void soak_cluster::CheckEvacuation() {
  std::string domain = Domain(0);
  EvacuateDomain(domain);
  std::this_thread::sleep_for(kEvacuationTime);
  unsigned before = checker_.BegunAt(domain + "/");
  CheckRecovery();
  if (checker_.BegunAt(domain + "/") != before) {
    checker_.ReportViolation("starts in a failure domain taken out of service");
  }
  ReturnDomain();
}

void soak_cluster::CheckPlannedStop() {
  cluster_vm& stopped = RandomVm(true);
  std::vector<std::future<bool>> callers;
  constexpr unsigned kCallers = 12;
  constexpr uint32_t kTasks = 2;
  for (unsigned number = 0; number < kCallers; ++number) {
    std::string request = JobRequest(absl::StrFormat("%016x", random_()), kTasks);
    callers.push_back(std::async(std::launch::async, [&stopped, request] {
      open_connection connection({.ip = stopped.ip, .port = kFrontPort});
      return connection.SendRequest(request, kGrace).has_value();
    }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  stopped.process->Kill(SIGTERM);
  std::optional<int> code = stopped.process->WaitExit(kGrace + std::chrono::seconds(2));
  if (code != 0) {
    NoteThreads(stopped.process->pid(), folder_ / (stopped.name + ".threads"));
    checker_.ReportViolation(absl::StrCat(
        stopped.name, " did not end with exit code 0 on SIGTERM: ", code.has_value() ? *code : -1));
  }
  for (std::future<bool>& answered : callers) {
    if (!answered.get()) {
      checker_.ReportViolation(stopped.name + " left a request without an answer when stopped");
    }
  }
}

void soak_cluster::CheckLogs() {
  for (auto* list : {&entries_, &agents_}) {
    for (const auto& each : *list) {
      if (each->process == nullptr) {
        continue;
      }
      std::vector<std::string> lines = absl::StrSplit(each->process->StandardOutput(), '\n');
      lines.pop_back();  // after the last newline: empty, or a line cut short by a kill
      uint64_t plan_revision = 0;
      for (const std::string& line : lines) {
        json fact = json::parse(line, nullptr, false);
        bool valid = fact.is_object() && fact.value("time", "").size() == 27 &&
                     !fact.value("level", "").empty() && !fact.value("fact", "").empty();
        if (!valid) {
          checker_.ReportViolation("invalid log line of " + each->name + ": " + line);
          continue;
        }
        std::string name = fact["fact"];
        uint64_t revision = fact.value("revision", uint64_t{0});
        if (name == "plan_taken" && revision < plan_revision) {
          checker_.ReportViolation("plan of " + each->name + " went back: " + line);
        }
        bool begins = name == "started";
        plan_revision = begins ? 0 : std::max(plan_revision, revision);
      }
    }
  }
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
