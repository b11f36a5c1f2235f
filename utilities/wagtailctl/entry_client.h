#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/layer_error.h"
#include "base/time.h"
#include "configuration/audit_record.h"
#include "configuration/configuration_record.h"
#include "http/http_client.h"

namespace wagtail {

/// Errors of calls to the entries.
enum class entry_error {
  kUnreachable = 1,  ///< no connection to any entry; nothing was done
  kNoAnswer = 2,     ///< an entry was reached, but sent no complete answer
  kRefused = 3,      ///< the entry refused; nothing was done
  kConflict = 4,     ///< another operator's change came first; nothing was done
  kNotApplied = 5,   ///< the table is unreachable; nothing was done
  kUnknown = 6,      ///< the outcome of a change could not be settled
  kNotFound = 7,     ///< the requested item does not exist
  kBadAnswer = 8,    ///< the answer does not have the expected form
  kTimedOut = 9,     ///< the wait exceeded its timeout
};

/// @return the name used in JSON output, for instance "conflict"
std::string_view ToString(entry_error error);

template <>
struct layer_error_traits<entry_error> {
  static constexpr std::string_view kLayer = "wagtail/entry";
  static absl::StatusCode CanonicalCode(entry_error error);
};

/// Makes one HTTP call; CallHttp() except in tests.
using http_hook = std::function<absl::StatusOr<http_response>(const http_call&)>;

struct entry_options {
  std::vector<std::string> entries;  ///< base URLs, tried in order
  std::string token;                 ///< of the operator; empty for none
};

/// The configuration as reported by an entry.
struct configuration_view {
  configuration_record record;       ///< without change id and author
  bool in_force = false;             ///< confirmed by all required processes
  std::vector<std::string> missing;  ///< processes that have not confirmed
};

/// A change that the entry reports as committed.
struct committed_change {
  std::string change_id;
  uint64_t version = 0;
};

/// Client of the entries' operator API. A failed read is retried at the next entry; a write only if
/// the connection to the previous entry was never established.
class entry_client {
 public:
  entry_client(entry_options options, http_hook http);

  /// @param path with its query, for instance /v1/operator/status
  /// @param timeout of the call to each entry
  /// @return the body of a 200, or entry_error
  absl::StatusOr<std::string> Get(std::string_view path, duration timeout);
  /// @return the body of a 200, or entry_error
  absl::StatusOr<std::string> Post(std::string_view path, std::string_view body, duration timeout);

  absl::StatusOr<configuration_view> Configuration(duration timeout);
  /// Makes one attempt, without a retry after kNoAnswer.
  absl::StatusOr<committed_change> SubmitChange(const configuration_change& change,
                                                duration timeout);
  /// @return the audit record of a committed change, or entry_error::kNotFound
  absl::StatusOr<audit_record> FindChange(std::string_view change_id, duration timeout);

 private:
  absl::StatusOr<http_response> CallFirstReachable(const http_call& call, std::string_view path);
  absl::StatusOr<http_response> CallEntry(const std::string& entry, http_call call,
                                          std::string_view path);

  entry_options options_;
  http_hook http_;
};

}  // namespace wagtail
