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

/// Prefix of the rows of the audit trail, one per accepted version.
inline constexpr std::string_view kAuditPrefix = "audit/";
/// Prefix of the rows that say by its id whether a change was accepted.
inline constexpr std::string_view kChangePrefix = "change/";

/// The newest configuration that this entry knows. Lives on the loop's thread.
class configuration_controller {
 public:
  /// Called when a newer version was taken over.
  using change_hook = std::function<void(const configuration&)>;

  explicit configuration_controller(change_hook on_change) : on_change_(std::move(on_change)) {}

  /// Takes over a record that a read or another entry brought, unless it is older than the one
  /// held.
  /// @param text value of the configuration row
  /// @param revision of the table when the row was written
  /// @return whether the record could be read
  bool TakeOver(std::string_view text, uint64_t revision);

  const configuration& current() const { return current_; }
  const configuration_record& record() const { return record_; }
  /// @return table revision that wrote the record; 0 for none
  uint64_t revision() const { return revision_; }

 private:
  change_hook on_change_;
  configuration current_;
  configuration_record record_;
  uint64_t revision_ = 0;
};

/// Commits one change of the configuration together with its audit record; blocks. Settles a lost
/// answer by reading back the change's own id.
/// @param change base version 0 on a leave or return: whatever is present
/// @param when wall time in RFC 3339, for people
/// @return the audit record of the change as committed, now or by an earlier try, or a table or
///   configuration error
absl::StatusOr<audit_record> CommitChange(table& table, configuration_change change,
                                          std::string_view when);

/// @return the accepted configuration as the table has it now, or a table or configuration error
absl::StatusOr<configuration_record> ReadPresentRecord(table& table);

/// @return the audit record of a change, or NotFound if it was not committed
absl::StatusOr<audit_record> FindChange(table& table, std::string_view change_id);

/// @return the audit trail after a version, oldest first
absl::StatusOr<std::vector<audit_record>> ReadAuditTrail(table& table, uint64_t after_version);

}  // namespace wagtail
