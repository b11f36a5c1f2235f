#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "freshness/freshness_settings.h"

/// @file
/// The final check before a target's daemon starts a task.

namespace wagtail {

enum class start_refusal {
  kStale,    ///< no entry with a configuration has answered within contact_timeout
  kLeaving,  ///< the configuration marks the target or its failure domain as leaving
};

/// Tracks whether one target is admitted by the newest configuration received from any entry. An
/// older one that arrives late, or from an entry that has lost contact, does not replace it.
class start_gate {
 public:
  explicit start_gate(const freshness_settings& settings) : settings_(settings) {}

  /// Called when an entry answered a heartbeat with its policy.
  /// @param heartbeat_sent_at when the daemon sent that heartbeat
  /// @param version table revision of the configuration from which the policy is derived
  /// @param admitted whether neither the target nor its failure domain is leaving
  void OnPolicy(instant heartbeat_sent_at, uint64_t version, bool admitted);

  /// @return the reason why no task may be started, or empty if one may
  std::optional<start_refusal> Check(instant now) const;

  /// @return the version held, sent to entries as confirmation
  uint64_t version() const { return version_; }

 private:
  freshness_settings settings_;
  std::optional<instant> last_contact_;
  uint64_t version_ = 0;
  bool admitted_ = false;
};

}  // namespace wagtail
