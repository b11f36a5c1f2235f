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
/// An entry's part in spreading the operators' configuration. Versions are revisions of the table.

namespace wagtail {

/// Key of the table row that holds the accepted configuration.
inline constexpr std::string_view kConfigurationKey = "configuration";

/// The configuration's row as one process hands it on to another.
struct configuration_row {
  std::string text;       ///< value in the table; empty if erased or never written
  uint64_t revision = 0;  ///< of the transaction that wrote it; 0: never written
};

enum class missing_reason {
  kMayStillStart,  ///< the target's daemon confirms an older version and may start tasks on it
  kStartsNothing,  ///< nothing is heard from the daemon for longer than its contact_limit
};

struct missing_target {
  std::string name;  ///< of the target
  missing_reason reason = missing_reason::kStartsNothing;
  bool operator==(const missing_target&) const = default;
};

/// Keeps the newest configuration that any message brought, and never goes back. Not safe to use
/// from several threads at once.
class newest_configuration {
 public:
  explicit newest_configuration(const freshness_settings& settings) : settings_(settings) {}

  /// A read of the table succeeded.
  /// @param started when the read was sent off
  /// @param changes rows since an earlier read; other rows are skipped
  void OnTableRead(instant started, const table_changes& changes, instant now);
  /// Another entry told its row.
  void OnPeerRow(const configuration_row& row, instant now) { TakeIfNewer(row, now); }
  /// @return whether other entries are to be asked, since this one can't read the table
  bool IsTableReadStale(instant now) const;
  /// @return the row for one that holds version `have`, or empty if it has the newest known here
  std::optional<configuration_row> NewerThan(uint64_t have) const;

  /// The targets in the table.
  void OnTargets(std::span<const target_incarnation> announced);
  /// A target's daemon said in a heartbeat which version it holds.
  void OnTargetConfirmed(const target_incarnation& target, uint64_t version, instant now);

  /// @return whether everyone in touch acts on the newest version known here
  bool IsInForce(instant now) const;
  /// @return announced targets that have not confirmed the version, and what that means
  std::vector<missing_target> MissingTargets(instant now) const;
  /// @return time since the start of the last successful read, or empty
  std::optional<duration> ReadAge(instant now) const;
  const configuration_row& row() const { return row_; }
  uint64_t version() const { return row_.revision; }

 private:
  struct confirmation {
    uint64_t version = 0;
    instant heard{};
  };

  void TakeIfNewer(const configuration_row& row, instant now);
  bool IsInTouch(const confirmation& last, instant now) const;

  freshness_settings settings_;
  configuration_row row_;
  instant taken_{};
  std::optional<instant> read_;
  std::map<target_incarnation, confirmation> targets_;
};

}  // namespace wagtail
