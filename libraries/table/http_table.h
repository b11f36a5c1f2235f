#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/http_client.h"
#include "table/table.h"

namespace wagtail {

/// Makes the calls of an http_table; replaced in tests.
using http_caller = std::function<absl::StatusOr<http_response>(const http_call&)>;

struct http_table_options {
  std::string base_url;                        ///< http://IP:PORT, without a closing slash
  duration timeout = std::chrono::seconds(2);  ///< of one call; whole seconds, rounded up
};

/// The platform's table service, reached over HTTP.
class http_table : public table {
 public:
  /// @param options where the service is
  /// @param caller makes the calls
  explicit http_table(http_table_options options, http_caller caller = CallHttp);

  /// @return kUnavailable when the table was not read, kBadAnswer for an answer out of the protocol
  absl::StatusOr<table_changes> Read(std::string_view prefix, uint64_t after) override;
  /// @return kConflict or kUnavailable only when nothing was written; kOutcomeUnknown for
  ///   everything that does not prove it; kBadAnswer for a transaction that can't be sent
  absl::StatusOr<uint64_t> Commit(const table_transaction& transaction) override;

 private:
  http_table_options options_;
  http_caller caller_;
};

/// @return `text` with every byte but letters, digits and -._~ percent-encoded
std::string PercentEncoded(std::string_view text);

}  // namespace wagtail
