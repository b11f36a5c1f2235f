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

struct soak_options {
  uint64_t seed = 1;
  size_t entries = 3;
  size_t agents = 5;
  size_t callers = 8;
  duration length = std::chrono::seconds(10);  ///< of the time with faults
};

/// Entries and agents as real processes on addresses of their own on loopback, with targets, a
/// store and callers, and faults drawn from a seed. Every link but that from callers passes a
/// relay.
class soak_cluster {
 public:
  explicit soak_cluster(const soak_options& options);
  ~soak_cluster();

  /// Runs the series of faults, ends them all, and checks what must hold then.
  /// @return what was broken
  std::vector<std::string> Run();
  const run_checker& watch() const { return watch_; }
  /// @return faults brought about so far
  unsigned faults() const { return faults_; }
  const std::filesystem::path& folder() const { return folder_; }

 private:
  struct machine {
    std::string name;
    std::string program;
    std::string ip;
    std::string domain;
    std::unique_ptr<child_process> process;
    std::unique_ptr<tcp_relay> sessions;  ///< towards an entry
    std::unique_ptr<soak_target> target;  ///< beside an agent
    bool stopping = false;                ///< asked to end, to be started again
  };
  using action = std::function<void()>;

  void AddMachines();
  void StartMachine(machine& which);
  std::string SettingsOf(const machine& which) const;
  void WriteConfiguration();

  void Later(duration delay, action work);
  void RunDue();
  void KeepMachines();
  duration Between(int64_t least_ms, int64_t most_ms);
  machine& AnyMachine(bool entry);

  void NoteFault(const char* kind, const std::string& where);
  void Fault();
  void Kill(machine& which);
  void Freeze(machine& which);
  void StopGracefully(machine& which);
  void ChangeSettings(machine& which);
  void CrashTarget(machine& agent);
  void DisturbLink(tcp_relay& link);
  void DisturbStore();
  void MisleadTarget(machine& agent);
  void ChangePlan();
  void TakeOutDomain(const std::string& domain);
  void TakeBackDomain();
  void PowerLoss();

  /// @return where callers reach the entries
  std::vector<loopback_address> Fronts() const;
  void HealAll();
  void CheckRecovery();
  void CheckEvacuation();
  void CheckPlannedStop();
  void CheckLogs();

  soak_options options_;
  std::mt19937_64 random_;
  std::string prefix_;  ///< of the addresses, "127.N."
  std::filesystem::path folder_;
  run_checker watch_;
  std::unique_ptr<soak_store> store_;
  std::unique_ptr<tcp_relay> store_link_;
  std::vector<std::unique_ptr<machine>> entries_;
  std::vector<std::unique_ptr<machine>> agents_;
  std::vector<std::unique_ptr<soak_caller>> callers_;
  std::multimap<instant, action> due_;
  std::string leaving_domain_;
  unsigned version_ = 0;
  unsigned faults_ = 0;
};

}  // namespace wagtail::leased
