#pragma once

#include <microhttpd.h>

#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "http/http_message.h"
#include "http/request_body.h"

namespace wagtail {

/// Bytes of a refused body that are discarded before its connection is closed.
inline constexpr size_t kMaxDiscardedBytes = 4 << 20;

/// One request of a connection, from its request line to its answer. Used by the connection's
/// thread only.
class request_exchange {
 public:
  explicit request_exchange(std::string uri) : uri_(std::move(uri)) {}

  /// Begins to read the body; to be called once the header is complete.
  /// @param max_bytes limit for the body
  body_verdict BeginBody(MHD_Connection* connection, memory_budget& memory, size_t max_bytes);
  bool has_body_begun() const { return body_.has_value(); }
  request_body& body() { return *body_; }

  /// @return the complete request with its body, without its socket
  http_request Take(MHD_Connection* connection, const char* method);

  bool is_refused = false;  ///< answered before its body had arrived, or over a limit
  bool is_counted = false;  ///< the handler was called; Stop waits for the answer to be sent

 private:
  std::string uri_;  ///< as received, with the query
  std::optional<request_body> body_{};
};

/// Sends an answer.
MHD_Result QueueAnswer(MHD_Connection* connection, http_response answer);

/// @return the socket of a connection, or -1
int SocketOf(MHD_Connection* connection);

/// Reads and drops what the peer still sends, within a bound of bytes and time, so that the peer
/// reads the answer that it was sent: closing a socket with unread bytes resets the connection.
void DiscardRest(int socket);

}  // namespace wagtail
