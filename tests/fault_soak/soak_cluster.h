#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/fault_soak/run_checker.h"
#include "tests/fault_soak/soak_caller.h"
#include "tests/fault_soak/soak_store.h"
#include "tests/fault_soak/soak_target.h"
#include "tests/process/child_process.h"
#include "tests/support/tcp_relay.h"

namespace wagtail::leased {

/// Folders of the programs, for runs in which builds of two versions work together. Empty:
/// $WAGTAIL_BIN.
struct soak_builds {
  std::string entries{};  ///< of the entries at their first start
  std::string agents{};   ///< of the agents at their first start
  std::string next{};     ///< of every process from its second start on; empty: as at the first
  /// Whether all VMs are replaced one after the other before the faults, and which come first.
  enum class replacement { kNone, kEntriesFirst, kAgentsFirst } replace = replacement::kNone;
};

struct soak_options {
  uint64_t seed = 1;
  size_t entries = 3;
  size_t agents = 5;
  size_t callers = 8;
  duration length = std::chrono::seconds(10);  ///< of the phase with faults
  soak_builds builds{};
};

/// Entries and agents as real processes on separate loopback addresses, with fake targets, a fake
/// store, callers, and faults drawn from a seed. All links except those from callers pass a relay.
class soak_cluster {
 public:
  explicit soak_cluster(const soak_options& options);
  ~soak_cluster();

  /// Injects the series of faults, ends them all, and then checks the guarantees.
  /// @return the violations
  std::vector<std::string> Run();
  const run_checker& checker() const { return checker_; }
  /// @return number of faults injected so far
  unsigned faults() const { return faults_; }
  const std::filesystem::path& folder() const { return folder_; }

 private:
  struct cluster_vm {
    std::string name;
    std::string program;  ///< file name or absolute path, of the next start
    std::string ip;
    std::string domain;
    std::unique_ptr<child_process> process;
    std::unique_ptr<tcp_relay> sessions;  ///< relay to the session port of an entry
    std::unique_ptr<soak_target> target;  ///< on the VM of an agent
    bool stopping = false;                ///< terminating, will be restarted
  };
  using action = std::function<void()>;

  static constexpr uint16_t kFrontPort = 8161;
  /// Same as in the platform's settings.
  static constexpr duration kGrace = std::chrono::seconds(6);

  /// @return the failure domain of the VM with this number
  static std::string Domain(size_t number);
  void AddVms();
  void StartVm(cluster_vm& vm);
  std::string SettingsOf(const cluster_vm& vm) const;
  void WriteConfiguration();

  void Schedule(duration delay, action work);
  void RunDue();
  void RestartExitedProcesses();
  duration RandomDuration(int64_t min_ms, int64_t max_ms);
  cluster_vm& RandomVm(bool entry);

  void LogFault(const char* kind, const std::string& where);
  void InjectFault();
  void Kill(cluster_vm& vm);
  void Freeze(cluster_vm& vm);
  void StopGracefully(cluster_vm& vm);
  /// Stops and starts one VM after the other under load.
  void ReplaceEveryVm();
  void ChangeSettings(cluster_vm& vm);
  /// A heartbeat from before the crash may arrive after the restart.
  void CrashTarget(cluster_vm& agent);
  /// A target drains, gives notice, ends and comes back; what it said of itself arrives once more
  /// after that.
  void LeaveAsPlanned(cluster_vm& agent);
  /// Ends the incarnation that has given notice.
  void EndTarget(cluster_vm& agent, uint64_t incarnation, std::vector<soak_target::message> late);
  /// Starts a target and lets messages of its former incarnation arrive some time after.
  void RestartTarget(cluster_vm& agent, std::vector<soak_target::message> late);
  void DisturbLink(tcp_relay& link);
  void DisturbStore();
  void DisturbTarget(cluster_vm& agent);
  void ChangePlan();
  void EvacuateDomain(const std::string& domain);
  void ReturnDomain();
  void PowerLoss();

  /// @return the addresses of the entries for callers
  std::vector<loopback_address> FrontAddresses() const;
  void EndFaults();
  void CheckRecovery();
  void CheckEvacuation();
  void CheckPlannedStop();
  void CheckLogs();

  soak_options options_;
  std::mt19937_64 random_;
  std::string prefix_;  ///< of all addresses, "127.N."
  std::filesystem::path folder_;
  run_checker checker_;
  std::unique_ptr<soak_store> store_;
  std::unique_ptr<tcp_relay> store_link_;
  std::vector<std::unique_ptr<cluster_vm>> entries_;
  std::vector<std::unique_ptr<cluster_vm>> agents_;
  std::vector<std::unique_ptr<soak_caller>> callers_;
  std::multimap<instant, action> due_;
  std::string leaving_domain_;
  unsigned version_ = 0;
  unsigned faults_ = 0;
};

}  // namespace wagtail::leased
