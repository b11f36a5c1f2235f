#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "freshness/daemon_questions.h"
#include "freshness/entry_freshness.h"
#include "freshness/start_gate.h"
#include "membership/entry_registry.h"
#include "tests/freshness/table_fake.h"
#include "tests/freshness/virtual_network.h"

/// @file
/// Entries, targets' daemons and the table over a virtual network, with the invariants checked at
/// every start of a task.

namespace wagtail {

/// Far more than real clocks deviate, so that what depends on it shows.
inline constexpr int64_t kClockDeviationPpm = 50'000;
/// Longest time by which a timer fires late.
inline constexpr duration kTimerDelay = std::chrono::milliseconds(50);

/// Faults put into the wiring on purpose, to see that the invariants notice them.
enum class wiring_fault {
  kNone,
  kDateAnswersAtReceipt,
  kDateReadsAtTheirEnd,
  kCountAMinority,
  kCountAnswersToEarlierPolls,
  kSkipWaitingForTheLapse,
  kIgnoreClockRates,
  kChangeTwoVotersAtOnce,
  kChangeVotersUnconfirmed,
  kKeepTheVoteOverARestart,
  kCheckBeforeAPause,
};

struct model_options {
  uint64_t seed = 1;
  wiring_fault fault = wiring_fault::kNone;
  std::size_t entries = 5;
  std::size_t daemons = 6;
  network_quality quality = network_quality::kLossy;
};

enum class disturbance_kind {
  kCommit,
  kCut,
  kFreeze,
  kPause,
  kPartition,
  kTableOutage,
  kTableCutFromSome,
  kTableSlow,
  kKillEntry,
  kStopEntry,
  kSupersedeEntry,  ///< a new process takes over the name while the old one goes on
  kReplaceDaemon,
};
inline constexpr int kDisturbanceKinds = 12;

struct disturbance {
  disturbance_kind kind = disturbance_kind::kCommit;
  uint64_t which = 0;  ///< picks the nodes
  duration span{};     ///< how long it lasts
  duration pause{};    ///< virtual time until the next one
};

struct model_counts {
  uint64_t starts = 0;
  uint64_t stale_refusals = 0;
  uint64_t commits = 0;
  uint64_t stretches = 0;
  uint64_t claims = 0;
  uint64_t voter_steps = 0;
};

class deployment_model {
 public:
  explicit deployment_model(const model_options& options);

  void Apply(const disturbance& what);
  void Run(duration span) { network_.RunUntil(network_.real_now() + span); }
  /// Ends all disturbances; the operator vouches for the entries that died.
  void Heal();
  /// @return the invariant broken first, if any
  const std::optional<std::string>& violation() const { return violation_; }
  /// @return what is amiss once everything has been whole for a while, if anything
  std::optional<std::string> Unfinished() const;
  /// @return daemons whose evidence is fresh now
  std::size_t FreshDaemons() const;

  virtual_network& network() { return network_; }
  const model_counts& counts() const { return counts_; }
  node_id table_node() const { return table_node_; }
  node_id entry_node(std::size_t index) const { return entries_[index].node; }
  node_id daemon_node(std::size_t index) const { return daemons_[index].node; }
  std::size_t daemons() const { return daemons_.size(); }
  std::size_t entries() const { return entries_.size(); }

 private:
  struct entry_process {
    node_id node = 0;
    entry_row self;
    std::unique_ptr<entry_freshness> logic;
    entry_registry registry;
    std::map<instant, instant> real_time_of_polls;
    uint64_t last_poll = 0;
    uint64_t ticks = 0;
    bool was_registered = false;
  };
  struct daemon_process {
    node_id node = 0;
    std::string failure_domain;
    uint64_t life = 0;
    std::unique_ptr<start_gate> gate;
    std::vector<std::size_t> links;
    daemon_questions questions{freshness_settings{}};
  };

  void StartEntry(std::size_t index);
  void StartDaemon(std::size_t index);
  void TickEntry(std::size_t index);
  void Read(std::size_t index);
  void OnRead(std::size_t index, instant started, const table_changes& changes);
  void Ask(std::size_t index, const outgoing_question& question);
  void OnAnswer(std::size_t index, outgoing_question asked, const peer_answer& answer);
  void ForgeMajority(std::size_t index, const outgoing_question& asked);
  void NoteStretch(std::size_t index);
  void Register(std::size_t index);
  void StepVoters(std::size_t index);
  void Commit(std::size_t index, const table_transaction& transaction);
  void OnCommitted(const table_transaction& transaction, uint64_t revision);
  void ClaimInForce(std::size_t index);
  void AddEntry(const std::string& name, const std::string& failure_domain);
  void Supersede(std::size_t index);
  void Partition(uint64_t which, duration span);
  void TickDaemon(std::size_t index);
  void OnDaemonAnswer(std::size_t index, std::size_t link, instant asked_at,
                      const peer_answer& answer);
  void TryStart(std::size_t index);
  void OnStart(uint64_t held_version);
  void ChangeConfiguration(std::size_t entry);
  void KillEntry(std::size_t index, duration down);
  void StopEntry(std::size_t index, duration down);
  void Vouch(entry_incarnation ended);
  void Require(bool holds, const std::string& what);
  bool IsUp(std::size_t index) const { return entries_[index].logic != nullptr; }
  duration AnyUpTo(duration most) {
    return duration(static_cast<int64_t>(network_.Random(most.count())));
  }
  instant Now(const entry_process& entry) const { return network_.ClockOf(entry.node); }
  /// @return where messages for a voter arrive: at its process, or at the one that took its place
  std::optional<std::size_t> Address(const voter& wanted) const;
  bool IsFault(wiring_fault fault) const { return options_.fault == fault; }

  model_options options_;
  freshness_settings settings_;
  virtual_network network_;
  table_fake table_;
  node_id table_node_ = 0;
  std::vector<entry_process> entries_;
  std::vector<daemon_process> daemons_;
  std::vector<entry_incarnation> ended_;
  uint64_t last_nonce_ = 0;
  std::map<uint64_t, instant> committed_;  // guarded versions by their real time
  std::map<uint64_t, instant> stretched_;  // latest successful poll by version, in real time
  uint64_t claimed_ = 0;                   // highest version called in force by anyone
  duration slowness_{};                    // added to each read of the table
  instant slow_until_{};
  model_counts counts_;
  std::optional<std::string> violation_;
};

}  // namespace wagtail
