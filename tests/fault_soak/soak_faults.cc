#include <array>
#include <csignal>
#include <fstream>

#include "absl/strings/str_cat.h"
#include "tests/fault_soak/soak_cluster.h"

/// @file
/// Faults that soak_cluster injects.

namespace wagtail::leased {
namespace {

/// Between the start of one replaced VM and the stop of the next.
constexpr duration kReplacementPause = std::chrono::milliseconds(700);

}  // namespace

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

}  // namespace wagtail::leased
