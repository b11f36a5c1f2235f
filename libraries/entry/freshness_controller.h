#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "entry/background_worker.h"
#include "entry/configuration_controller.h"
#include "entry/peer_links.h"
#include "freshness/entry_freshness.h"
#include "membership/entry_registry.h"
#include "rpc/event_loop.h"
#include "table/table.h"

namespace wagtail {

/// Carries the questions and answers of entry_freshness over RPC, hands newer rows to the
/// configuration, and writes the steps of the set of voters. Lives on the loop's thread.
class freshness_controller {
 public:
  struct parts {
    event_loop& loop;
    peer_links& peers;
    table& platform_table;
    background_worker& writer;
    configuration_controller& configuration;
    entry_registry& entries;
    entry_incarnation self;
  };

  freshness_controller(parts parts, const freshness_settings& settings);

  /// A round of table reads succeeded.
  /// @param changes rows since the round before, of every kind
  void OnRead(instant read_started, const table_changes& changes);
  /// Asks the voters what must be asked, and moves the set of voters a step when that is due; call
  /// once a period.
  void Tick();
  /// Another entry asks.
  peer_answer OnPeerQuestion(const peer_question& question);
  /// A target's daemon told which version it holds.
  void OnTargetConfirmed(const target_incarnation& target, uint64_t version);
  void OnTargets(std::span<const target_incarnation> announced);

  /// @return age of the evidence, or empty if there is none or the newest configuration can't be
  ///   read here
  std::optional<duration> Age() const;
  /// @return the later of the table revisions of the configuration and the voters known here
  uint64_t version() const { return decisions_.rows().version(); }
  bool IsInForce() const;
  std::vector<missing_party> Missing() const;
  /// @return the life of an entry that its row shows as serving
  std::optional<entry_incarnation> ServingLife(std::string_view name) const;
  const voter_set& voters() const { return decisions_.voters(); }

 private:
  void NoteStoppedLives(const entry_row& row);
  void AdoptConfiguration();
  void Ask(const outgoing_question& question);
  void StepVoters();

  parts parts_;
  entry_freshness decisions_;
  bool step_under_way_ = false;
};

}  // namespace wagtail
