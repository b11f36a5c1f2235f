#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/http_client.h"
#include "table/table.h"

namespace wagtail {

/// Performs the calls of an http_table; replaced in tests.
using http_caller = std::function<absl::StatusOr<http_response>(const http_call&)>;

struct http_table_options {
  std::string base_url;                        ///< http://IP:PORT, without a closing slash
  duration timeout = std::chrono::seconds(2);  ///< of one call; whole seconds, rounded up
};

/// Client of the platform's table service over HTTP.
class http_table : public table {
 public:
  /// @param options the address of the service and the timeout
  /// @param caller performs the HTTP calls
  explicit http_table(http_table_options options, http_caller caller = CallHttp);

  /// @return kUnavailable when the table was not read, kBadAnswer for a malformed answer
  absl::StatusOr<table_changes> Read(std::string_view prefix, uint64_t after) override;
  /// @return kConflict or kUnavailable only when nothing was written; kOutcomeUnknown for
  ///   anything that does not prove this; kBadAnswer for a transaction that can't be sent
  absl::StatusOr<uint64_t> Commit(const table_transaction& transaction) override;

 private:
  http_table_options options_;
  http_caller caller_;
};

/// @return `text` with every byte but letters, digits and -._~ percent-encoded
std::string PercentEncoded(std::string_view text);

}  // namespace wagtail
