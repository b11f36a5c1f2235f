#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "freshness/freshness_settings.h"
#include "table/table.h"

/// @file
/// Propagation of the operators' configuration within an entry. Versions are table revisions.

namespace wagtail {

/// Key of the table row that holds the accepted configuration.
inline constexpr std::string_view kConfigurationKey = "configuration";

/// The configuration's row as sent from one process to another.
struct configuration_row {
  std::string text;       ///< value in the table; empty if erased or never written
  uint64_t revision = 0;  ///< revision of the transaction that wrote it; 0: never written
};

enum class missing_reason {
  kMayStillStart,  ///< the target's daemon confirmed an older version and may start tasks on it
  kStartsNothing,  ///< the daemon has sent no heartbeat for longer than contact_timeout
};

struct missing_target {
  std::string name;  ///< name of the target
  missing_reason reason = missing_reason::kStartsNothing;
  bool operator==(const missing_target&) const = default;
};

/// Keeps the newest configuration received from any source and never reverts to an older one. Not
/// safe for concurrent use.
class newest_configuration {
 public:
  explicit newest_configuration(const freshness_settings& settings) : settings_(settings) {}

  /// Called when a read of the table succeeded.
  /// @param started when the read was sent
  /// @param changes rows changed since an earlier read; rows with other keys are skipped
  void OnTableRead(instant started, const table_changes& changes, instant now);
  /// Called when another entry sent its row.
  void OnPeerRow(const configuration_row& row, instant now) { ReplaceIfNewer(row, now); }
  /// @return whether to query other entries, since this one's last table read is too old
  bool IsTableReadStale(instant now) const;
  /// @return the row if it is newer than `known_version`, otherwise empty
  std::optional<configuration_row> NewerThan(uint64_t known_version) const;

  /// Sets the announced targets in the table.
  void OnTargets(std::span<const target_incarnation> announced);
  /// Called for a heartbeat in which a target's daemon reports the version it holds.
  void OnTargetConfirmed(const target_incarnation& target, uint64_t version, instant now);

  /// @return whether every daemon in contact applies the newest version known here
  bool IsInForce(instant now) const;
  /// @return announced targets that have not confirmed the version, each with the reason
  std::vector<missing_target> MissingTargets(instant now) const;
  /// @return time since the start of the last successful read, or empty
  std::optional<duration> ReadAge(instant now) const;
  const configuration_row& row() const { return row_; }
  uint64_t version() const { return row_.revision; }

 private:
  struct confirmation {
    uint64_t version = 0;
    instant received_at{};
  };

  void ReplaceIfNewer(const configuration_row& row, instant now);
  bool IsInContact(const confirmation& last, instant now) const;

  freshness_settings settings_;
  configuration_row row_;
  instant updated_at_{};
  std::optional<instant> last_read_started_;
  std::map<target_incarnation, confirmation> targets_;
};

}  // namespace wagtail
