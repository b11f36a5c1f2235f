#include "tests/untrusted_clients/small_cluster.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "tests/fault_soak/address_prefix.h"
#include "tests/fault_soak/open_connection.h"
#include "tests/fault_soak/soak_caller.h"

namespace wagtail::leased {
namespace {

using json = nlohmann::json;

constexpr uint16_t kFrontPort = 8161;
constexpr uint16_t kControlPort = 8166;
constexpr uint16_t kReadyPort = 8167;
constexpr int kOk = 200;
constexpr duration kAnswerTimeout = std::chrono::seconds(4);

std::string Configuration(size_t max_body_bytes) {
  json route = {{"name", "r-1"},       {"host", kSoakHost},       {"path_prefix", kSoakPath},
                {"service", "lights"}, {"max_attempts", 4},       {"stretch", 2.0},
                {"timeout_ms", 3000},  {"target_latency_ms", 300}};
  return json{{"version", 1},
              {"limits", {{"max_body_bytes", max_body_bytes}}},
              {"routes", {route}},
              {"services", {{{"name", "lights"}, {"rejects_overload", false}}}}}
      .dump();
}

}  // namespace

small_cluster::small_cluster(const small_cluster_options& options)
    : prefix_(ReserveAddressPrefix()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "wagtail-untrusted-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  store_ = std::make_unique<soak_store>(prefix_ + "1.1", prefix_, prefix_);
  store_->Put("op", "config", Configuration(options.max_body_bytes));
  entry_ = std::make_unique<child_process>("wagtail-dispatchd", folder_, "entry",
                                           SettingsOf("entry", front().ip, options.entry),
                                           settings_way::kNodeFile);
  agent_ = std::make_unique<child_process>("wagtail-agentd", folder_, "agent",
                                           SettingsOf("agent", control().ip, options.agent),
                                           settings_way::kNodeFile);
  target_ = std::make_unique<soak_target>(
      soak_target_options{.ip = prefix_ + "4.1",
                          .control = absl::StrCat(control().ip, ":", kControlPort)},
      checker_);
}

small_cluster::~small_cluster() {
  entry_.reset();
  agent_.reset();
  std::filesystem::remove_all(folder_);
}

std::string small_cluster::SettingsOf(const std::string& name, const std::string& ip,
                                      const process_limits& limits) const {
  return absl::StrCat("node=", name, "\nip=", ip, "\nzone=zone-1\nlisten.front=", ip, ":",
                      kFrontPort, "\nlisten.ready=", ip, ":", kReadyPort, "\nlisten.control=", ip,
                      ":", kControlPort, "\nport_range=", kSessionPort, ",", kSessionPort + 15,
                      "\nseeds=", front().ip, ":", kControlPort, "\nplatform.addr=", prefix_,
                      "1.1:", store_->address().port, "\nlimits.memory_mb=", limits.memory_mb,
                      "\nlimits.max_fds=", limits.max_fds,
                      "\nbounds.grace_s=6\nbounds.max_hold_ms=1000\nbounds.resend_ms=1300\n");
}

loopback_address small_cluster::front() const {
  return {.ip = prefix_ + "2.1", .port = kFrontPort};
}

loopback_address small_cluster::control() const {
  return {.ip = prefix_ + "3.1", .port = kControlPort};
}

bool small_cluster::WaitUntilServing() {
  return Eventually([this] { return SubmitJob() && SendHeartbeat(); });
}

bool small_cluster::SubmitJob() {
  // The fake target runs jobs with ids of this range for its normal run time.
  return IsAnsweredOk(front(), JobRequest(absl::StrFormat("f%015x", ++jobs_), 1));
}

bool small_cluster::SendHeartbeat() {
  soak_target::message heartbeat = target_->Heartbeat();
  return IsAnsweredOk(control(),
                      absl::StrCat("POST ", heartbeat.path, " HTTP/1.1\r\nHost: ", control().ip,
                                   "\r\nContent-Type: application/json\r\nContent-Length: ",
                                   heartbeat.body.size(), "\r\n\r\n", heartbeat.body));
}

bool IsAnsweredOk(const loopback_address& to, const std::string& request) {
  open_connection connection(to);
  auto answer = connection.SendRequest(request, kAnswerTimeout);
  return answer.has_value() && answer->status == kOk;
}

}  // namespace wagtail::leased
