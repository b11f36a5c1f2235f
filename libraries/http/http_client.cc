#include "http/http_client.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

#include "base/try.h"
#include "http/http_error.h"
#include "http/http_runtime.h"

namespace wagtail {
namespace {

constexpr std::string_view kScheme = "http://";
/// Larger answers are reported as kNoAnswer, so that a broken peer can't exhaust the memory.
constexpr size_t kMaxAnswerBytes = 64 << 20;

struct peer_address {
  sockaddr_in socket{};
};

std::optional<peer_address> PeerOf(std::string_view url) {
  if (!url.starts_with(kScheme)) {
    return std::nullopt;
  }
  std::string_view authority = url.substr(kScheme.size());
  authority = authority.substr(0, authority.find_first_of("/?"));
  size_t colon = authority.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view digits = authority.substr(colon + 1);
  uint16_t port = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() || port == 0) {
    return std::nullopt;
  }
  peer_address peer;
  peer.socket.sin_family = AF_INET;
  peer.socket.sin_port = htons(port);
  std::string host(authority.substr(0, colon));
  if (inet_pton(AF_INET, host.c_str(), &peer.socket.sin_addr) != 1) {
    return std::nullopt;
  }
  return peer;
}

bool HasControlCharacter(std::string_view text) {
  return std::ranges::any_of(
      text, [](char letter) { return static_cast<unsigned char>(letter) < ' ' || letter == 127; });
}

absl::Status CheckCall(const http_call& call) {
  if (call.method.empty() || HasControlCharacter(call.method) || HasControlCharacter(call.url)) {
    return MakeError(http_error::kBadCall, "malformed method or URL");
  }
  if (call.url.find(' ') != std::string::npos) {
    return MakeError(http_error::kBadCall, "URL is not percent-encoded: " + call.url);
  }
  if (call.timeout <= duration::zero()) {
    return MakeError(http_error::kBadCall, "timeout must be positive");
  }
  bool bad_header = std::ranges::any_of(call.headers, [](const auto& header) {
    return header.first.empty() || HasControlCharacter(header.first) ||
           header.first.find(':') != std::string::npos || HasControlCharacter(header.second);
  });
  if (bad_header) {
    return MakeError(http_error::kBadCall, "malformed header");
  }
  return absl::OkStatus();
}

/// Closes a socket at the end of the scope.
class socket_guard {
 public:
  explicit socket_guard(int descriptor) : descriptor_(descriptor) {}
  ~socket_guard() {
    if (descriptor_ >= 0) {
      close(descriptor_);
    }
  }
  socket_guard(const socket_guard&) = delete;
  socket_guard& operator=(const socket_guard&) = delete;
  int descriptor() const { return descriptor_; }

 private:
  int descriptor_;
};

/// ulfius does not report at which stage a call failed. A connection refused before anything is
/// sent proves that the request did not arrive.
absl::Status CheckReachable(const peer_address& peer, duration timeout) {
  socket_guard probe(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (probe.descriptor() < 0) {
    return MakeError(http_error::kConnectFailed, "cannot create a socket");
  }
  // Closing the probe with a reset leaves no port in TIME_WAIT.
  constexpr linger kReset{.l_onoff = 1, .l_linger = 0};
  setsockopt(probe.descriptor(), SOL_SOCKET, SO_LINGER, &kReset, sizeof(kReset));
  const auto* address = reinterpret_cast<const sockaddr*>(&peer.socket);
  if (connect(probe.descriptor(), address, sizeof(peer.socket)) == 0) {
    return absl::OkStatus();
  }
  if (errno != EINPROGRESS) {
    return MakeError(http_error::kConnectFailed, "connection refused");
  }
  pollfd wait{.fd = probe.descriptor(), .events = POLLOUT, .revents = 0};
  int ready = poll(&wait, 1, static_cast<int>(std::max<int64_t>(1, ToMilliseconds(timeout))));
  int outcome = 0;
  socklen_t length = sizeof(outcome);
  getsockopt(probe.descriptor(), SOL_SOCKET, SO_ERROR, &outcome, &length);
  if (ready != 1 || outcome != 0) {
    return MakeError(http_error::kConnectFailed, "connection failed");
  }
  return absl::OkStatus();
}

struct request_deleter {
  void operator()(_u_request* request) const { ulfius_clean_request_full(request); }
};
struct response_deleter {
  void operator()(_u_response* response) const { ulfius_clean_response_full(response); }
};
using request_handle = std::unique_ptr<_u_request, request_deleter>;
using response_handle = std::unique_ptr<_u_response, response_deleter>;

request_handle NewRequest(const http_call& call) {
  auto* raw = static_cast<_u_request*>(o_malloc(sizeof(_u_request)));
  ulfius_init_request(raw);
  request_handle request(raw);
  // ulfius supports whole seconds only.
  auto seconds = std::chrono::ceil<std::chrono::seconds>(call.timeout).count();
  ulfius_set_request_properties(
      raw, U_OPT_HTTP_VERB, call.method.c_str(), U_OPT_HTTP_URL, call.url.c_str(), U_OPT_HTTP_PROXY,
      "", U_OPT_TIMEOUT, static_cast<unsigned long>(seconds), U_OPT_FOLLOW_REDIRECT, 0, U_OPT_NONE);
  for (const auto& [name, value] : call.headers) {
    u_map_put(raw->map_header, name.c_str(), value.c_str());
  }
  if (!call.body.empty()) {
    ulfius_set_binary_body_request(raw, call.body.data(), call.body.size());
  }
  return request;
}

response_handle NewResponse() {
  auto* raw = static_cast<_u_response*>(o_malloc(sizeof(_u_response)));
  ulfius_init_response(raw);
  return response_handle(raw);
}

size_t AppendBody(void* contents, size_t size, size_t count, void* user_data) {
  auto* body = static_cast<std::string*>(user_data);
  size_t bytes = size * count;
  if (body->size() + bytes > kMaxAnswerBytes) {
    return 0;
  }
  body->append(static_cast<const char*>(contents), bytes);
  return bytes;
}

http_fields HeadersOf(const _u_map* map) {
  http_fields headers;
  std::span keys(map->keys, static_cast<size_t>(map->nb_values));
  for (size_t index = 0; index < keys.size(); ++index) {
    const char* value = map->values[index];
    headers.insert_or_assign(LowerCase(keys[index]), value == nullptr ? "" : value);
  }
  return headers;
}

}  // namespace

absl::StatusOr<http_response> CallHttp(const http_call& call) {
  InitialiseHttpOnce();
  TRY(CheckCall(call));
  std::optional<peer_address> peer = PeerOf(call.url);
  if (!peer.has_value()) {
    return MakeError(http_error::kBadCall, "URL is not http://IP:PORT/...: " + call.url);
  }
  TRY(CheckReachable(*peer, call.timeout));

  request_handle request = NewRequest(call);
  response_handle response = NewResponse();
  http_response answer;
  int outcome =
      ulfius_send_http_streaming_request(request.get(), response.get(), &AppendBody, &answer.body);
  if (outcome != U_OK) {
    return MakeError(http_error::kNoAnswer, "no complete answer from " + call.url);
  }
  answer.status = static_cast<int>(response->status);
  answer.headers = HeadersOf(response->map_header);
  return answer;
}

}  // namespace wagtail
