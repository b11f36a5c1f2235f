#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "freshness/freshness_settings.h"

/// @file
/// The last check before a target's daemon starts a task.

namespace wagtail {

enum class start_refusal {
  kStale,    ///< no entry that knows a configuration has answered lately
  kLeaving,  ///< the configuration takes the target or its failure domain out
};

/// Knows one target's place in the newest configuration that any entry told. An older one that
/// comes late, or from an entry that has lost touch, changes nothing.
class start_gate {
 public:
  explicit start_gate(const freshness_settings& settings) : settings_(settings) {}

  /// An entry told its policy.
  /// @param asked_at when the daemon sent the heartbeat that this answers
  /// @param version of the configuration it follows from, a revision of the table
  /// @param admitted neither the target nor its failure domain is leaving
  void OnPolicy(instant asked_at, uint64_t version, bool admitted);

  /// @return why no task may be started, or empty if one may
  std::optional<start_refusal> Check(instant now) const;

  /// @return the version held; told to entries as confirmation
  uint64_t version() const { return version_; }

 private:
  freshness_settings settings_;
  std::optional<instant> contact_;
  uint64_t version_ = 0;
  bool admitted_ = false;
};

}  // namespace wagtail
