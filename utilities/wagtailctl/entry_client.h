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

/// Errors of talking to the entries.
enum class entry_error {
  kUnreachable = 1,  ///< no entry was reached: nothing was done
  kNoAnswer = 2,     ///< an entry was reached, but gave no whole answer
  kRefused = 3,      ///< the entry refused; nothing was done
  kConflict = 4,     ///< another operator's change came first; nothing was done
  kNotApplied = 5,   ///< the table is not reachable; nothing was done
  kUnknown = 6,      ///< the outcome of a change could not be settled
  kNotFound = 7,     ///< the entry knows no such thing
  kBadAnswer = 8,    ///< the answer is not what this release understands
  kTimedOut = 9,     ///< waiting took longer than allowed
};

/// @return the name used in JSON output, for instance "conflict"
std::string_view ToString(entry_error error);

template <>
struct layer_error_traits<entry_error> {
  static constexpr std::string_view kLayer = "wagtail/entry";
  static absl::StatusCode CanonicalCode(entry_error error);
};

/// Makes one HTTP call; CallHttp() but for tests.
using http_hook = std::function<absl::StatusOr<http_response>(const http_call&)>;

struct entry_options {
  std::vector<std::string> entries;  ///< base URLs, tried in order
  std::string token;                 ///< operator's token; empty for none
};

/// The configuration as an entry sees it.
struct configuration_view {
  configuration_record record;       ///< without change id and author
  bool in_force = false;             ///< confirmed by everyone who must
  std::vector<std::string> missing;  ///< who has not confirmed
};

/// A change that the entry reports as committed.
struct committed_change {
  std::string change_id;
  uint64_t version = 0;
};

/// The operators' side of the HTTP interface of the entries. Reads are repeated at the next entry
/// when one fails; writes only when one was certainly not reached.
class entry_client {
 public:
  entry_client(entry_options options, http_hook http);

  /// @param path with its query, for instance /v1/operator/status
  /// @param timeout for the call at each entry
  /// @return the body of a 200, or entry_error
  absl::StatusOr<std::string> Get(std::string_view path, duration timeout);
  /// @return the body of a 200, or entry_error
  absl::StatusOr<std::string> Post(std::string_view path, std::string_view body, duration timeout);

  absl::StatusOr<configuration_view> Configuration(duration timeout);
  /// One attempt, not repeated after kNoAnswer.
  absl::StatusOr<committed_change> SubmitChange(const configuration_change& change,
                                                duration timeout);
  /// @return the audit record of a change that was committed, or entry_error::kNotFound
  absl::StatusOr<audit_record> FindChange(std::string_view change_id, duration timeout);

 private:
  absl::StatusOr<http_response> CallFirst(const http_call& call, std::string_view path);
  absl::StatusOr<http_response> CallAt(const std::string& entry, http_call call,
                                       std::string_view path);

  entry_options options_;
  http_hook http_;
};

}  // namespace wagtail
