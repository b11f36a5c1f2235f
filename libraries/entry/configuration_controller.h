#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "configuration/audit_record.h"
#include "configuration/configuration.h"
#include "configuration/configuration_change.h"
#include "configuration/configuration_record.h"
#include "freshness/newest_configuration.h"
#include "table/table.h"

namespace wagtail {

/// Key prefix of the audit trail: one row per accepted version.
inline constexpr std::string_view kAuditPrefix = "audit/";
/// Key prefix of the accepted changes by change id.
inline constexpr std::string_view kChangePrefix = "change/";

/// Holds the newest configuration received by this entry. Used on the loop's thread only.
class configuration_controller {
 public:
  /// Called after a newer version was installed.
  using change_hook = std::function<void(const configuration&)>;

  explicit configuration_controller(change_hook on_change) : on_change_(std::move(on_change)) {}

  /// Installs a record read from the table or received from another entry, unless the current one
  /// is at least as new.
  /// @param text the value of the configuration row
  /// @param revision the table revision that wrote the row
  /// @return false if the record is malformed
  bool Install(std::string_view text, uint64_t revision);

  const configuration& current() const { return current_; }
  const configuration_record& record() const { return record_; }
  /// @return the table revision that wrote the record; 0 if there is none
  uint64_t revision() const { return revision_; }

 private:
  change_hook on_change_;
  configuration current_;
  configuration_record record_;
  uint64_t revision_ = 0;
};

/// Commits one change of the configuration together with its audit record; blocks. If the answer
/// is lost, resolves the outcome by reading back the change id.
/// @param change the change; base version 0 on a leave or return means the current version
/// @param when wall time in RFC 3339, stored in the audit record
/// @return the audit record of the change, committed now or by an earlier attempt, or a table or
///   configuration error
absl::StatusOr<audit_record> CommitChange(table& table, configuration_change change,
                                          std::string_view when);

/// @return the accepted configuration now in the table, or a table or configuration error
absl::StatusOr<configuration_record> ReadCurrentRecord(table& table);

/// @return the audit record of a change, or NotFound if it was not committed
absl::StatusOr<audit_record> FindChange(table& table, std::string_view change_id);

/// @return the audit records of versions after `after_version`, oldest first
absl::StatusOr<std::vector<audit_record>> ReadAuditTrail(table& table, uint64_t after_version);

}  // namespace wagtail
