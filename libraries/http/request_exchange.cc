#include "http/request_exchange.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <memory>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "http/http_runtime.h"

namespace wagtail {
namespace {

constexpr duration kMaxDiscardTime = std::chrono::seconds(1);

MHD_Result AddField(void* fields, MHD_ValueKind /*kind*/, const char* key, const char* value) {
  if (key == nullptr) {
    return MHD_YES;
  }
  std::string_view text = value == nullptr ? "" : value;
  auto [found, added] =
      static_cast<http_fields*>(fields)->try_emplace(LowerCase(key), std::string(text));
  if (!added) {
    // A field that occurs several times is a list (RFC 9110, 5.3).
    found->second.append(",").append(text);
  }
  return MHD_YES;
}

http_fields FieldsOf(MHD_Connection* connection, MHD_ValueKind kind) {
  http_fields fields;
  MHD_get_connection_values(connection, kind, &AddField, &fields);
  return fields;
}

std::string PercentDecoded(std::string_view text) {
  std::string decoded(text);
  decoded.resize(MHD_http_unescape(decoded.data()));
  return decoded;
}

/// @return the length that the header announces; empty for a chunked body
std::optional<size_t> AnnouncedBytes(MHD_Connection* connection) {
  auto header = [connection](const char* name) {
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
  };
  const char* length = header(MHD_HTTP_HEADER_CONTENT_LENGTH);
  if (length == nullptr || header(MHD_HTTP_HEADER_TRANSFER_ENCODING) != nullptr) {
    return std::nullopt;
  }
  std::string_view digits = length;
  size_t bytes = 0;
  auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), bytes);
  // libmicrohttpd refuses malformed lengths itself.
  return parsed.ec == std::errc() ? std::optional(bytes) : std::nullopt;
}

void FreeText(void* text) { delete static_cast<std::string*>(text); }

}  // namespace

body_verdict request_exchange::BeginBody(MHD_Connection* connection, memory_budget& memory,
                                         size_t max_bytes) {
  body_.emplace(memory, max_bytes);
  return body_->Begin(AnnouncedBytes(connection));
}

http_request request_exchange::Take(MHD_Connection* connection, const char* method) {
  return {.method = method,
          .path = PercentDecoded(std::string_view(uri_).substr(0, uri_.find('?'))),
          .query = FieldsOf(connection, MHD_GET_ARGUMENT_KIND),
          .headers = FieldsOf(connection, MHD_HEADER_KIND),
          .body = body_->Take()};
}

MHD_Result QueueAnswer(MHD_Connection* connection, http_response answer) {
  auto status = static_cast<unsigned>(answer.status);
  auto text = std::make_unique<std::string>(std::move(answer.body));
  MHD_Response* response = MHD_create_response_from_buffer_with_free_callback_cls(
      text->size(), text->data(), &FreeText, text.get());
  if (response == nullptr) {
    return MHD_NO;
  }
  static_cast<void>(text.release());  // freed with the response
  for (const auto& [name, value] : answer.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  MHD_Result queued = MHD_queue_response(connection, status, response);
  MHD_destroy_response(response);
  return queued;
}

int SocketOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

void DiscardRest(int socket) {
  shutdown(socket, SHUT_WR);
  std::array<char, 4096> dropped{};
  size_t bytes = 0;
  instant end = MonotonicNow() + kMaxDiscardTime;
  while (bytes < kMaxDiscardedBytes) {
    ssize_t received = recv(socket, dropped.data(), dropped.size(), MSG_DONTWAIT);
    if (received > 0) {
      bytes += static_cast<size_t>(received);
      continue;
    }
    int64_t remaining = ToMilliseconds(end - MonotonicNow());
    if (received == 0 || (errno != EAGAIN && errno != EINTR) || remaining <= 0) {
      return;
    }
    pollfd wait{.fd = socket, .events = POLLIN, .revents = 0};
    poll(&wait, 1, static_cast<int>(remaining));
  }
}

}  // namespace wagtail
