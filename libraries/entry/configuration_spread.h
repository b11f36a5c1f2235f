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

/// Carries the newest configuration from the table and between entries, and hands it to the
/// configuration in use. Lives on the loop's thread.
class configuration_spread {
 public:
  struct parts {
    event_loop& loop;
    peer_links& peers;
    configuration_controller& configuration;
    entry_registry& entries;
    entry_incarnation self;
  };

  configuration_spread(parts parts, const freshness_settings& settings);

  /// A round of table reads succeeded.
  /// @param changes rows since the round before, of every kind
  void OnRead(instant read_started, const table_changes& changes);
  /// Asks the other entries while this one can't read the table; call once a period.
  void Tick();
  /// @return the row for another entry that holds version `have`, or empty if it has the newest
  std::optional<configuration_row> OnPeerQuestion(uint64_t have) const {
    return decisions_.NewerThan(have);
  }

  newest_configuration& decisions() { return decisions_; }
  const newest_configuration& decisions() const { return decisions_; }

 private:
  void Adopt();
  void Ask(const entry_row& other);

  parts parts_;
  newest_configuration decisions_;
};

}  // namespace wagtail
