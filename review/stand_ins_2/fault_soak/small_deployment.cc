#include "review/stand_ins_2/fault_soak/small_deployment.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "base/verify.h"
#include "tests/fault_soak/open_connection.h"

namespace wagtail::review {
namespace {

using json = nlohmann::json;

constexpr uint16_t kFrontPort = 8161;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kControlPort = 8166;
constexpr uint16_t kSessionPort = 7720;
constexpr const char* kHost = "lights.example";
constexpr const char* kPathPrefix = "/on/";
constexpr const char* kService = "lights";
constexpr size_t kDomains = 3;
/// Entries in one subnet of loopback addresses.
constexpr size_t kEntriesPerSubnet = 200;
constexpr duration kClientDeadline = std::chrono::milliseconds(1500);
constexpr duration kStartTimeout = std::chrono::seconds(15);
constexpr int kOk = 200;

sockaddr_in SocketAddress(const loopback_address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  VERIFY(inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) == 1);
  return result;
}

/// Reserves addresses that no other run on this computer uses, until the process exits.
std::string ReserveAddressPrefix() {
  constexpr unsigned kFirst = 20;
  constexpr unsigned kLast = 250;
  for (unsigned number = kFirst; number <= kLast; ++number) {
    std::string prefix = absl::StrCat("127.", number, ".");
    sockaddr_in address = SocketAddress({.ip = prefix + "1.9", .port = kSessionPort});
    int reservation = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(reservation, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
      return prefix;
    }
    close(reservation);
  }
  VERIFY_NOT_REACHED();
}

std::string Configuration() {
  json route = {{"name", "r-1"},       {"host", kHost},      {"path_prefix", kPathPrefix},
                {"service", kService}, {"priority", 0},      {"max_attempts", 4},
                {"stretch", 2.0},      {"timeout_ms", 3000}, {"target_latency_ms", 300}};
  return json{{"version", 1},
              {"routes", {route}},
              {"services", {{{"name", kService}, {"rejects_overload", true}}}},
              {"limits", {{"max_body_bytes", 262144}}}}
      .dump();
}

client_answer Send(const loopback_address& front, const std::string& request) {
  constexpr duration kPatience = kClientDeadline + std::chrono::milliseconds(100);
  leased::open_connection connection(front);
  auto answer = connection.SendRequest(request, kPatience);
  return answer.has_value() ? client_answer{.status = answer->status, .body = answer->body}
                            : client_answer{};
}

}  // namespace

small_deployment::small_deployment(const deployment_options& options)
    : prefix_(ReserveAddressPrefix()) {
  std::string pattern = (std::filesystem::temp_directory_path() / "wagtail-case-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  store_ = std::make_unique<leased::soak_store>(prefix_ + "1.1", "no entry", "");
  store_->Put("op", "config", Configuration());
  std::vector<std::string> seeds;
  for (size_t number = 0; number < options.entries; ++number) {
    seeds.push_back(absl::StrCat(prefix_, "10.", number + 1, ":", kControlPort));
  }
  seeds_ = absl::StrJoin(seeds, ",");
  for (size_t number = 0; number < options.entries; ++number) {
    AddEntry();
  }
  for (size_t number = 0; number < options.agents; ++number) {
    auto agent = std::make_unique<vm>();
    agent->name = absl::StrCat("agent-", number);
    agent->ip = absl::StrCat(prefix_, "3.", number + 1);
    agent->domain = absl::StrCat("zone-", number % kDomains);
    agent->heartbeats = std::make_unique<heartbeat_relay>(
        absl::StrCat(prefix_, "5.", number + 1), absl::StrCat(agent->ip, ":", kControlPort));
    agent->target = std::make_unique<leased::soak_target>(
        leased::soak_target_options{.id = absl::StrCat("i-", number),
                                    .ip = absl::StrCat(prefix_, "4.", number + 1),
                                    .domain = agent->domain,
                                    .control = agent->heartbeats->address(),
                                    .run_time = options.run_time},
        checker_);
    agents_.push_back(std::move(agent));
    Start(*agents_.back());
  }
}

small_deployment::~small_deployment() {
  PowerOff();
  agents_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void small_deployment::AddEntry() {
  auto entry = std::make_unique<vm>();
  size_t number = next_entry_++;
  entry->name = absl::StrCat("entry-", number);
  entry->ip =
      absl::StrCat(prefix_, 10 + number / kEntriesPerSubnet, ".", number % kEntriesPerSubnet + 1);
  entry->domain = absl::StrCat("zone-", number % kDomains);
  Start(*entry);
  entries_.push_back(std::move(entry));
}

std::string small_deployment::SettingsOf(const vm& about) const {
  bool is_entry = about.target == nullptr;
  std::string front = is_entry ? absl::StrCat("listen.front=", about.ip, ":", kFrontPort,
                                              "\nlisten.ready=", about.ip, ":", kReadyPort, "\n")
                               : "";
  return absl::StrCat("node=", about.name, "\nip=", about.ip, "\nzone=", about.domain, "\n", front,
                      "listen.control=", about.ip, ":", kControlPort, "\nport_range=", kSessionPort,
                      ",", kSessionPort + 15, "\nseeds=", seeds_,
                      "\nheartbeat_ms=700\nplatform.addr=", store_->address().ip, ":",
                      store_->address().port,
                      "\nbounds.grace_s=6\nbounds.max_hold_ms=1000\nbounds.resend_ms=1300\n");
}

void small_deployment::Start(vm& started) {
  const char* program = started.target == nullptr ? "wagtail-dispatchd" : "wagtail-agentd";
  started.process = std::make_unique<child_process>(program, folder_, started.name,
                                                    SettingsOf(started), settings_way::kNodeFile);
}

bool small_deployment::Listens(const loopback_address& address) {
  sockaddr_in peer = SocketAddress(address);
  int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool listens = connect(probe, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0;
  close(probe);
  return listens;
}

bool small_deployment::WaitServing() {
  unsigned number = 1;
  return Eventually(
      [this, &number] {
        return std::ranges::all_of(Fronts(), [&number](const loopback_address& front) {
          constexpr unsigned kFirstProbe = 900000;
          return Submit(front, JobId(kFirstProbe + number++), 1).status == kOk;
        });
      },
      kStartTimeout);
}

bool small_deployment::ReplaceOldestEntry() {
  constexpr duration kRegistration = std::chrono::milliseconds(60);
  std::unique_ptr<vm> oldest = std::move(entries_.front());
  entries_.erase(entries_.begin());
  oldest->process->End();
  gone_.push_back(
      std::make_unique<silent_address>(loopback_address{.ip = oldest->ip, .port = kSessionPort}));
  AddEntry();
  loopback_address front{.ip = entries_.back()->ip, .port = kFrontPort};
  bool listens = Eventually([&front] { return Listens(front); }, kStartTimeout);
  std::this_thread::sleep_for(kRegistration);
  return listens;
}

void small_deployment::PowerOff() {
  for (auto* list : {&entries_, &agents_}) {
    for (const auto& each : *list) {
      each->process.reset();
    }
  }
}

void small_deployment::PowerOn() {
  for (auto* list : {&entries_, &agents_}) {
    std::ranges::for_each(*list, [this](const auto& each) { Start(*each); });
  }
}

std::vector<loopback_address> small_deployment::Fronts() const {
  std::vector<loopback_address> fronts;
  for (const auto& entry : entries_) {
    fronts.push_back({.ip = entry->ip, .port = kFrontPort});
  }
  return fronts;
}

unsigned small_deployment::RunsAt(size_t agent) const {
  return checker_.BegunAt(absl::StrCat(agents_[agent]->domain, "/i-", agent));
}

std::string small_deployment::ControlOf(size_t agent) const {
  return absl::StrCat(agents_[agent]->ip, ":", kControlPort);
}

size_t small_deployment::CountInLog(size_t agent, const std::string& text) const {
  std::ifstream log(folder_ / (agents_[agent]->name + ".out"));
  std::string line;
  size_t lines = 0;
  while (std::getline(log, line)) {
    lines += line.find(text) != std::string::npos ? 1 : 0;
  }
  return lines;
}

client_answer Submit(const loopback_address& front, const std::string& job, unsigned tasks) {
  std::string body =
      json{{"best_effort", true},
           {"job_spec", "court lights on"},
           {"steps", {{{"count", tasks}, {"cpu", 6000}, {"mem_mb", 64}, {"estimate_ms", 100}}}}}
          .dump();
  return Send(front, absl::StrCat("POST ", kPathPrefix, job, " HTTP/1.1\r\nHost: ", kHost,
                                  "\r\nDeadline-Ms: ", ToMilliseconds(kClientDeadline),
                                  "\r\nContent-Type: application/json\r\nContent-Length: ",
                                  body.size(), "\r\n\r\n", body));
}

client_answer Cancel(const loopback_address& front, const std::string& job) {
  return Send(front,
              absl::StrCat("DELETE ", kPathPrefix, job, " HTTP/1.1\r\nHost: ", kHost,
                           "\r\nDeadline-Ms: ", ToMilliseconds(kClientDeadline), "\r\n\r\n"));
}

std::string JobId(unsigned number) {
  // The stand-in of a target runs tasks of ids below "2" for longer.
  return absl::StrFormat("c0%014x", number);
}

std::string LongJobId(unsigned number) { return absl::StrFormat("10%014x", number); }

}  // namespace wagtail::review
