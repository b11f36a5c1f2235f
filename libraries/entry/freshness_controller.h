#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "entry/background_worker.h"
#include "entry/configuration_controller.h"
#include "entry/peer_links.h"
#include "freshness/freshness_evidence.h"
#include "freshness/freshness_settings.h"
#include "freshness/in_force_tracker.h"
#include "freshness/outage_poll.h"
#include "membership/entry_registry.h"
#include "membership/voter_set.h"
#include "rpc/event_loop.h"
#include "rpc/wire.capnp.h"
#include "table/table.h"

namespace wagtail {

/// How fresh this entry's configuration is and what is in force: reads of the table, questions to
/// the voters, the set of voters itself. Lives on the loop's thread.
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
  /// @param configuration and voters rows that changed since the round before
  void OnRead(instant read_started, const std::optional<table_row>& configuration,
              const std::optional<table_row>& voters);
  /// Asks the voters, and moves the set of voters a step when that is due; call once a period.
  void Tick();
  /// A target's daemon told which version it holds.
  void OnTargetConfirmed(const target_incarnation& target, uint64_t version);
  void OnTargets(std::span<const target_incarnation> announced);

  /// Writes what another entry wants to know.
  void Report(uint64_t known_version, wire::Evidence::Builder out) const;

  std::optional<duration> Age() const { return evidence_.Age(MonotonicNow()); }
  /// @return the later of the table revisions of the configuration and the voters known here
  uint64_t version() const;
  bool IsInForce() const { return tracker_.IsInForce(version(), MonotonicNow()); }
  std::vector<missing_party> Missing() const { return tracker_.Missing(version(), MonotonicNow()); }
  const voter_set& voters() const { return voters_; }

 private:
  void TakeOverVoters(const std::string& text, uint64_t revision);
  void NoteVersion();
  void AskVoters();
  void OnPeerEvidence(instant asked_at, uint64_t poll, wire::Evidence::Reader told);
  void StepVoters();

  parts parts_;
  freshness_evidence evidence_;
  outage_poll poll_;
  uint64_t poll_number_ = 0;
  in_force_tracker tracker_;
  freshness_settings settings_;
  voter_set voters_;
  std::string voters_text_;
  uint64_t voters_revision_ = 0;
  bool step_under_way_ = false;
};

}  // namespace wagtail
