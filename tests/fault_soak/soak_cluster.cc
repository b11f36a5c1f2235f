#include "tests/fault_soak/soak_cluster.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

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
#include "base/verify.h"

namespace wagtail::leased {
namespace {

using json = nlohmann::json;

constexpr uint16_t kFrontPort = 8161;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kControlPort = 8166;
constexpr uint16_t kSessionPort = 7720;
constexpr size_t kDomains = 3;
constexpr duration kStep = std::chrono::milliseconds(10);
/// As the platform's settings state them.
constexpr duration kGrace = std::chrono::seconds(6);
constexpr duration kEvacuate = std::chrono::seconds(5);

std::string Domain(size_t number) { return absl::StrCat("zone-", number % kDomains); }

/// Drops the line that a killed process had not written whole.
void DropCutLine(const std::filesystem::path& output) {
  std::ifstream file(output);
  std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!text.empty() && !text.ends_with('\n')) {
    std::filesystem::resize_file(output, text.rfind('\n') + 1);
  }
}

/// Takes addresses that no other run on this machine has, for as long as the process lives.
/// @return what they begin with
std::string OwnPrefix() {
  constexpr unsigned kFirst = 20;
  constexpr unsigned kLast = 250;
  for (unsigned number = kFirst; number <= kLast; ++number) {
    std::string prefix = absl::StrCat("127.", number, ".");
    sockaddr_in mark{};
    mark.sin_family = AF_INET;
    mark.sin_port = htons(kSessionPort);
    VERIFY(inet_pton(AF_INET, (prefix + "1.9").c_str(), &mark.sin_addr) == 1);
    int taken = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(taken, reinterpret_cast<sockaddr*>(&mark), sizeof(mark)) == 0) {
      return prefix;
    }
    close(taken);
  }
  VERIFY_NOT_REACHED();
}

}  // namespace

soak_cluster::soak_cluster(const soak_options& options)
    : options_(options), random_(options_.seed), prefix_(OwnPrefix()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "wagtail-fault-soak-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  store_ = std::make_unique<soak_store>(prefix_ + "1.1", prefix_ + "2.", prefix_ + "8.");
  store_link_ =
      std::make_unique<tcp_relay>(loopback_address{.ip = prefix_ + "1.2"}, store_->address());
  WriteConfiguration();
  AddMachines();
}

soak_cluster::~soak_cluster() {
  callers_.clear();
  entries_.clear();
  agents_.clear();
}

void soak_cluster::AddMachines() {
  for (size_t number = 0; number < options_.entries; ++number) {
    auto entry = std::make_unique<machine>();
    entry->name = absl::StrCat("entry-", number);
    entry->program = "wagtail-dispatchd";
    entry->ip = absl::StrCat(prefix_, "2.", number + 1);
    entry->domain = Domain(number);
    entry->sessions = std::make_unique<tcp_relay>(
        loopback_address{.ip = absl::StrCat(prefix_, "8.", number + 1), .port = kSessionPort},
        loopback_address{.ip = entry->ip, .port = kSessionPort});
    entries_.push_back(std::move(entry));
  }
  for (size_t number = 0; number < options_.agents; ++number) {
    auto agent = std::make_unique<machine>();
    agent->name = absl::StrCat("agent-", number);
    agent->program = "wagtail-agentd";
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
        watch_);
    agents_.push_back(std::move(agent));
  }
  for (auto* list : {&entries_, &agents_}) {
    std::ranges::for_each(*list, [this](const auto& each) { StartMachine(*each); });
  }
}

std::string soak_cluster::SettingsOf(const machine& which) const {
  std::string seeds;
  for (size_t number = 0; number < options_.entries; ++number) {
    absl::StrAppend(&seeds, number == 0 ? "" : ",", prefix_, "8.", number + 1, ":", kControlPort);
  }
  return absl::StrCat(
      "node=", which.name, "\nip=", which.ip, "\nzone=", which.domain, "\nlisten.front=", which.ip,
      ":", kFrontPort, "\nlisten.ready=", which.ip, ":", kReadyPort, "\nlisten.control=", which.ip,
      ":", kControlPort, "\nport_range=", kSessionPort, ",", kSessionPort + 15, "\nseeds=", seeds,
      "\nplatform.addr=", prefix_, "1.2:", store_link_->port(),
      "\nbounds.grace_s=", ToSeconds(kGrace), "\nbounds.max_hold_ms=1000\nbounds.resend_ms=1300\n");
}

void soak_cluster::StartMachine(machine& which) {
  which.stopping = false;
  DropCutLine(folder_ / (which.name + ".out"));
  which.process = std::make_unique<child_process>(which.program, folder_, which.name,
                                                  SettingsOf(which), settings_way::kNodeFile);
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

duration soak_cluster::Between(int64_t least_ms, int64_t most_ms) {
  std::uniform_int_distribution<int64_t> spread(least_ms, most_ms);
  return std::chrono::milliseconds(spread(random_));
}

soak_cluster::machine& soak_cluster::AnyMachine(bool entry) {
  auto& list = entry ? entries_ : agents_;
  return *list[random_() % list.size()];
}

void soak_cluster::Later(duration delay, action work) {
  due_.emplace(MonotonicNow() + delay, std::move(work));
}

void soak_cluster::RunDue() {
  while (!due_.empty() && due_.begin()->first <= MonotonicNow()) {
    action work = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    work();
  }
  KeepMachines();
}

void soak_cluster::KeepMachines() {
  for (auto* list : {&entries_, &agents_}) {
    for (const auto& each : *list) {
      if (each->process == nullptr || each->process->IsRunning()) {
        continue;
      }
      if (!each->process->was_signalled()) {
        watch_.Broken(each->name + " ended by itself");
        each->process.reset();
        StartMachine(*each);
      } else if (each->stopping) {
        StartMachine(*each);
      }
    }
  }
}

void soak_cluster::NoteFault(const char* kind, const std::string& where) {
  ++faults_;
  std::ofstream(folder_ / "faults.txt", std::ios::app)
      << run_checker::Now() << " " << kind << " " << where << "\n";
}

void soak_cluster::Fault() {
  bool entry = random_() % 2 == 0;
  machine& which = AnyMachine(entry);
  machine& agent = AnyMachine(false);
  constexpr unsigned kKinds = 24;
  switch (random_() % kKinds) {
    case 0:
    case 1:
    case 2:
      Kill(which);
      break;
    case 3:
    case 4:
    case 5:
      Freeze(which);
      break;
    case 6:
    case 7:
      StopGracefully(which);
      break;
    case 8:
      ChangeSettings(which);
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
      DisturbLink(*AnyMachine(true).sessions);
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
      MisleadTarget(agent);
      break;
    case 22:
      ChangePlan();
      break;
    default:
      PowerLoss();
      break;
  }
}

void soak_cluster::Kill(machine& which) {
  NoteFault("Kill", which.name);
  if (which.process == nullptr) {
    return;
  }
  which.process->End();
  which.process.reset();
  Later(Between(50, 2500), [this, &which] { StartMachine(which); });
}

void soak_cluster::Freeze(machine& which) {
  NoteFault("Freeze", which.name);
  if (which.process == nullptr || which.stopping) {
    return;
  }
  pid_t frozen = which.process->pid();
  which.process->Kill(SIGSTOP);
  Later(Between(100, 3000), [&which, frozen] {
    if (which.process != nullptr && which.process->pid() == frozen) {
      which.process->Kill(SIGCONT);
    }
  });
}

void soak_cluster::StopGracefully(machine& which) {
  NoteFault("StopGracefully", which.name);
  if (which.process == nullptr || which.stopping) {
    return;
  }
  which.stopping = true;
  which.process->Kill(SIGTERM);
  pid_t asked = which.process->pid();
  Later(kGrace, [&which, asked] {
    if (which.process != nullptr && which.process->pid() == asked) {
      which.process->Kill(SIGCONT);
      which.process->Kill(SIGKILL);
    }
  });
}

void soak_cluster::ChangeSettings(machine& which) {
  NoteFault("ChangeSettings", which.name);
  if (which.process == nullptr) {
    return;
  }
  std::ofstream(which.process->settings_path(), std::ios::app) << "new.field=1\n";
  if (random_() % 2 == 0) {
    which.process->Kill(SIGHUP);
  }
}

void soak_cluster::CrashTarget(machine& agent) {
  NoteFault("CrashTarget", agent.name);
  agent.target->Crash();
  Later(Between(200, 3000), [&agent] { agent.target->Restart(); });
}

void soak_cluster::DisturbLink(tcp_relay& link) {
  auto kind = random_() % 5;
  NoteFault("DisturbLink", absl::StrCat("port ", link.port(), ", kind ", kind));
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
      link.SetDelay(Between(0, 300), Between(0, 300));
      break;
  }
  Later(Between(100, 2000), [&link] {
    link.SetDelay(duration::zero(), duration::zero());
    link.SetMode(relay_mode::kPass);
  });
}

void soak_cluster::DisturbStore() {
  NoteFault("DisturbStore", "store");
  constexpr std::array kMoods = {soak_store::mood::kDown, soak_store::mood::kSlow,
                                 soak_store::mood::kLosesAnswers};
  store_->SetMood(kMoods[random_() % kMoods.size()]);
  Later(Between(300, 4000), [this] { store_->SetMood(soak_store::mood::kWell); });
}

void soak_cluster::MisleadTarget(machine& agent) {
  NoteFault("MisleadTarget", agent.name);
  bool late = random_() % 2 == 0;
  agent.target->late_orders = late ? 0.2 : 0;
  agent.target->SetFailing(late ? 0 : 1);
  Later(Between(300, 3000), [&agent] {
    agent.target->late_orders = 0;
    agent.target->SetFailing(0);
  });
}

void soak_cluster::ChangePlan() {
  NoteFault("ChangePlan", "plan");
  if (random_() % 2 == 0) {
    WriteConfiguration();
    return;
  }
  if (leaving_domain_.empty()) {
    TakeOutDomain(Domain(random_()));
  } else {
    TakeBackDomain();
  }
}

void soak_cluster::TakeOutDomain(const std::string& domain) {
  leaving_domain_ = domain;
  store_->Put("op", "evacuate/" + domain, "{}");
}

void soak_cluster::TakeBackDomain() {
  if (!leaving_domain_.empty()) {
    store_->Put("op", "evacuate/" + std::exchange(leaving_domain_, ""), "");
  }
}

void soak_cluster::PowerLoss() {
  NoteFault("PowerLoss", "all");
  for (auto* list : {&entries_, &agents_}) {
    std::ranges::for_each(*list, [this](const auto& each) { Kill(*each); });
  }
}

void soak_cluster::HealAll() {
  while (!due_.empty()) {
    RunDue();
    std::this_thread::sleep_for(kStep);
  }
  TakeBackDomain();
  Eventually([this] {
    KeepMachines();
    return std::ranges::all_of(entries_, [](const auto& each) { return !each->stopping; }) &&
           std::ranges::all_of(agents_, [](const auto& each) { return !each->stopping; });
  });
}

std::vector<loopback_address> soak_cluster::Fronts() const {
  std::vector<loopback_address> fronts;
  for (const auto& entry : entries_) {
    fronts.push_back({.ip = entry->ip, .port = kFrontPort});
  }
  return fronts;
}

void soak_cluster::CheckRecovery() {
  constexpr unsigned kInARow = 4;
  for (const loopback_address& front : Fronts()) {
    unsigned in_a_row = 0;
    soak_caller caller(random_(), {front}, watch_);
    bool served = Eventually([&] {
      in_a_row = caller.HandIn(true) ? in_a_row + 1 : 0;
      return in_a_row >= kInARow;
    });
    if (!served) {
      watch_.Broken("does not serve after the faults: " + front.ip);
    }
  }
}

void soak_cluster::CheckEvacuation() {
  std::string domain = Domain(0);
  TakeOutDomain(domain);
  std::this_thread::sleep_for(kEvacuate);
  unsigned before = watch_.BegunAt(domain + "/");
  CheckRecovery();
  if (watch_.BegunAt(domain + "/") != before) {
    watch_.Broken("starts in a domain that was taken out");
  }
  TakeBackDomain();
}

void soak_cluster::CheckPlannedStop() {
  machine& stopped = AnyMachine(true);
  std::vector<std::future<bool>> callers;
  constexpr unsigned kCallers = 12;
  constexpr uint32_t kTasks = 2;
  for (unsigned number = 0; number < kCallers; ++number) {
    std::string request = JobRequest(absl::StrFormat("%016x", random_()), kTasks);
    callers.push_back(std::async(std::launch::async, [&stopped, request] {
      open_connection connection({.ip = stopped.ip, .port = kFrontPort});
      return connection.Ask(request, kGrace).has_value();
    }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  stopped.process->Kill(SIGTERM);
  std::optional<int> code = stopped.process->WaitExit(kGrace + std::chrono::seconds(2));
  if (code != 0) {
    watch_.Broken(absl::StrCat(stopped.name,
                               " did not end well on SIGTERM: ", code.has_value() ? *code : -1));
  }
  for (std::future<bool>& answered : callers) {
    if (!answered.get()) {
      watch_.Broken(stopped.name + " left a request without an answer when it was stopped");
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
      lines.pop_back();  // behind the last newline: nothing, or a line that a kill cut short
      for (const std::string& line : lines) {
        json fact = json::parse(line, nullptr, false);
        bool sound = fact.is_object() && fact.value("time", "").size() == 27 &&
                     !fact.value("level", "").empty() && !fact.value("fact", "").empty();
        if (!sound) {
          watch_.Broken("not a log line, by " + each->name + ": " + line);
        }
      }
    }
  }
}

std::vector<std::string> soak_cluster::Run() {
  CheckRecovery();
  for (size_t number = 0; number < options_.callers; ++number) {
    callers_.push_back(std::make_unique<soak_caller>(random_(), Fronts(), watch_));
    callers_.back()->RunOnThread();
  }
  instant end = MonotonicNow() + options_.length;
  instant next = MonotonicNow();
  while (MonotonicNow() < end) {
    RunDue();
    if (MonotonicNow() >= next) {
      Fault();
      next = MonotonicNow() + Between(20, 600);
    }
    std::this_thread::sleep_for(kStep);
  }
  HealAll();
  std::ranges::for_each(callers_, [](const auto& each) { each->BeginEnd(); });
  std::ranges::for_each(callers_, [](const auto& each) { each->End(); });
  CheckRecovery();
  CheckEvacuation();
  CheckPlannedStop();
  watch_.CheckAtEnd();
  CheckLogs();
  return watch_.broken();
}

}  // namespace wagtail::leased
