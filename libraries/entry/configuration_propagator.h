#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "entry/configuration_controller.h"
#include "entry/peer_links.h"
#include "freshness/newest_configuration.h"
#include "membership/entry_registry.h"
#include "rpc/event_loop.h"

namespace wagtail {

/// Obtains the newest configuration from the table or from other entries and installs it in the
/// configuration controller. Used on the loop's thread only.
class configuration_propagator {
 public:
  struct parts {
    event_loop& loop;
    peer_links& peers;
    configuration_controller& configuration;
    entry_registry& entries;
    entry_incarnation self;
  };

  configuration_propagator(parts parts, const freshness_settings& settings);

  /// Processes a successful round of table reads.
  /// @param changes rows of every kind that changed since the previous round
  void OnTableRead(instant read_started, const table_changes& changes);
  /// Queries the other entries while table reads are stale; call once per freshness period.
  void Tick();
  /// @return the row for another entry that holds version `have`; empty if that is the newest
  std::optional<configuration_row> OnPeerQuery(uint64_t have) const {
    return decisions_.NewerThan(have);
  }

  newest_configuration& decisions() { return decisions_; }
  const newest_configuration& decisions() const { return decisions_; }

 private:
  void InstallNewest();
  void Query(const entry_row& other);

  parts parts_;
  newest_configuration decisions_;
};

}  // namespace wagtail
