#include "http/http_server.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <exception>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "base/verify.h"
#include "http/http_error.h"
#include "http/http_runtime.h"

namespace wagtail {
namespace {

constexpr int kOk = 200;
constexpr int kBodyTooLarge = 413;
constexpr int kHandlerFailed = 500;
constexpr int kStopping = 503;
/// Idle timeout of connections; also bounds how long an unresponsive peer occupies a thread.
constexpr unsigned kIdleConnectionSeconds = 60;
/// A connection that sends nothing is accepted only after this time.
constexpr int kDeferAcceptSeconds = 10;

http_fields FieldsOf(const _u_map* map, bool lower_names) {
  http_fields fields;
  if (map == nullptr) {
    return fields;
  }
  std::span keys(map->keys, static_cast<size_t>(map->nb_values));
  for (size_t index = 0; index < keys.size(); ++index) {
    const char* value = map->values[index];
    std::string name = lower_names ? LowerCase(keys[index]) : std::string(keys[index]);
    fields.insert_or_assign(std::move(name), value == nullptr ? std::string() : std::string(value));
  }
  return fields;
}

std::string PercentDecoded(const char* text) {
  std::string decoded(text);
  decoded.resize(MHD_http_unescape(decoded.data()));
  return decoded;
}

http_request RequestOf(const _u_request* request) {
  http_request result;
  result.method = request->http_verb == nullptr ? "" : request->http_verb;
  result.path = request->url_path == nullptr ? "" : PercentDecoded(request->url_path);
  result.query = FieldsOf(request->map_url, true);
  result.headers = FieldsOf(request->map_header, true);
  if (request->binary_body != nullptr) {
    result.body.assign(static_cast<const char*>(request->binary_body), request->binary_body_length);
  }
  return result;
}

void Answer(const http_response& answer, _u_response* response) {
  if (answer.body.empty()) {
    ulfius_set_empty_body_response(response, static_cast<unsigned>(answer.status));
  } else {
    ulfius_set_binary_body_response(response, static_cast<unsigned>(answer.status),
                                    answer.body.data(), answer.body.size());
  }
  for (const auto& [name, value] : answer.headers) {
    ulfius_add_header_to_response(response, name.c_str(), value.c_str());
  }
}

/// With a thread per connection every callback of a request runs on that connection's thread.
thread_local bool answering = false;
thread_local int connection_socket = -1;

int SocketOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

}  // namespace

/// An open connection of a server.
struct open_socket {
  std::optional<instant> idle_since{};  ///< empty while a request is in progress
  bool is_shut = false;                 ///< the server reads nothing more from it
};

/// Counts the requests being answered, so that Stop can wait for them.
struct http_server::state {
  http_server_options options;
  http_handler handler;
  _u_instance instance{};
  sockaddr_in address{};
  uint16_t port = 0;
  std::atomic<bool> stopping = false;
  bool stopped = false;
  std::mutex stop_mutex;
  std::mutex mutex;
  std::condition_variable drained;
  unsigned in_progress = 0;
  std::mutex sockets_mutex;
  std::map<int, open_socket> sockets;

  /// @return the socket on which a hang-up of the caller shows, or -1 if it can no longer show
  int OnRequestBegun(int socket);
  void OnRequestEnded(int socket);
  absl::Status Listen();
  void Drain();
  bool BeginRequest();
  void EndRequest();
  http_response Handle(const _u_request* request) const;

  static int OnRequest(const _u_request* request, _u_response* response, void* self);
  static void* OnUri(void* self, const char* uri, MHD_Connection* connection);
  static void OnConnection(void* self, MHD_Connection* connection, void** context,
                           MHD_ConnectionNotificationCode code);
  static void OnCompleted(void* self, MHD_Connection* connection, void** context,
                          MHD_RequestTerminationCode code);
};

/// ulfius does not pass the connection to its endpoints; this callback runs before them.
void* http_server::state::OnUri(void* self, const char* uri, MHD_Connection* connection) {
  connection_socket = static_cast<state*>(self)->OnRequestBegun(SocketOf(connection));
  return ulfius_uri_logger(nullptr, uri);
}

void http_server::state::OnConnection(void* self, MHD_Connection* connection, void** /*context*/,
                                      MHD_ConnectionNotificationCode code) {
  auto* server = static_cast<state*>(self);
  int socket = SocketOf(connection);
  std::lock_guard lock(server->sockets_mutex);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    server->sockets[socket] = {.idle_since = MonotonicNow()};
  } else {
    server->sockets.erase(socket);
  }
}

int http_server::state::OnRequestBegun(int socket) {
  std::lock_guard lock(sockets_mutex);
  auto found = sockets.find(socket);
  if (found == sockets.end()) {
    return socket;
  }
  found->second.idle_since.reset();
  // A socket that was shut reads as if the caller had closed it.
  return found->second.is_shut ? -1 : socket;
}

void http_server::state::OnRequestEnded(int socket) {
  std::lock_guard lock(sockets_mutex);
  auto found = sockets.find(socket);
  if (found != sockets.end()) {
    found->second.idle_since = MonotonicNow();
  }
}

bool http_server::state::BeginRequest() {
  std::lock_guard lock(mutex);
  if (stopping) {
    return false;
  }
  ++in_progress;
  answering = true;
  return true;
}

void http_server::state::EndRequest() {
  if (!std::exchange(answering, false)) {
    return;
  }
  std::lock_guard lock(mutex);
  --in_progress;
  drained.notify_all();
}

http_response http_server::state::Handle(const _u_request* request) const {
  if (request->binary_body_length > options.max_body_bytes) {
    return {.status = kBodyTooLarge, .headers = {}, .body = "body too large\n"};
  }
  try {
    http_request parsed = RequestOf(request);
    parsed.socket = connection_socket;
    return handler(parsed);
  } catch (const std::exception&) {
    return {.status = kHandlerFailed, .headers = {}, .body = "internal error\n"};
  } catch (...) {
    return {.status = kHandlerFailed, .headers = {}, .body = "internal error\n"};
  }
}

int http_server::state::OnRequest(const _u_request* request, _u_response* response, void* self) {
  auto* server = static_cast<state*>(self);
  if (!server->BeginRequest()) {
    http_response refusal{
        .status = kStopping, .headers = {{"connection", "close"}}, .body = "stopping\n"};
    Answer(refusal, response);
    return U_CALLBACK_COMPLETE;
  }
  http_response answer = server->Handle(request);
  if (server->stopping) {
    answer.headers["connection"] = "close";
  }
  Answer(answer, response);
  return U_CALLBACK_COMPLETE;
}

void http_server::state::OnCompleted(void* self, MHD_Connection* connection, void** context,
                                     MHD_RequestTerminationCode code) {
  mhd_request_completed(nullptr, connection, context, code);
  auto* server = static_cast<state*>(self);
  server->OnRequestEnded(SocketOf(connection));
  server->EndRequest();
}

absl::Status http_server::state::Listen() {
  address.sin_family = AF_INET;
  address.sin_port = htons(options.port);
  if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
    return MakeError(http_error::kListenFailed, "not an IPv4 address: " + options.address);
  }
  // ulfius refuses port 0; the port inside `address` is the one it binds.
  constexpr unsigned kPlaceholderPort = 1;
  unsigned nominal_port = options.port == 0 ? kPlaceholderPort : options.port;
  if (ulfius_init_instance(&instance, nominal_port, &address, nullptr) != U_OK) {
    return MakeError(http_error::kListenFailed, "ulfius refused to initialise the instance");
  }
  // ulfius truncates larger bodies to this size: one byte over the limit makes them detectable.
  instance.max_post_body_size = options.max_body_bytes + 1;
  instance.allowed_post_processor = U_POST_PROCESS_NONE;
  ulfius_set_default_endpoint(&instance, &state::OnRequest, this);

  std::array<MHD_OptionItem, 7> items{{
      {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&state::OnConnection), this},
      {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&state::OnCompleted), this},
      {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&state::OnUri), this},
      {MHD_OPTION_SOCK_ADDR, 0, &address},
      {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(options.max_connections), nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT, kIdleConnectionSeconds, nullptr},
      {MHD_OPTION_END, 0, nullptr},
  }};
  constexpr unsigned kFlags =
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_ITC;
  if (ulfius_start_framework_with_mhd_options(&instance, kFlags, items.data()) != U_OK) {
    ulfius_clean_instance(&instance);
    return MakeError(http_error::kListenFailed,
                     "cannot listen on " + options.address + ":" + std::to_string(options.port));
  }
  int listener = MHD_get_daemon_info(instance.mhd_daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
  // A caller that only checks whether the port is open then occupies no thread.
  setsockopt(listener, IPPROTO_TCP, TCP_DEFER_ACCEPT, &kDeferAcceptSeconds,
             sizeof(kDeferAcceptSeconds));
  sockaddr_in bound{};
  socklen_t length = sizeof(bound);
  VERIFY(getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &length) == 0);
  port = ntohs(bound.sin_port);
  return absl::OkStatus();
}

void http_server::state::Drain() {
  int listener = MHD_quiesce_daemon(instance.mhd_daemon);
  {
    std::unique_lock lock(mutex);
    stopping = true;
    drained.wait_for(lock, options.drain_timeout, [this] { return in_progress == 0; });
  }
  ulfius_stop_framework(&instance);
  ulfius_clean_instance(&instance);
  if (listener >= 0) {
    close(listener);
  }
}

absl::StatusOr<std::unique_ptr<http_server>> http_server::Start(http_server_options options,
                                                                http_handler handler) {
  InitialiseHttpOnce();
  auto fresh = std::make_unique<state>();
  fresh->options = std::move(options);
  fresh->handler = std::move(handler);
  absl::Status listening = fresh->Listen();
  if (!listening.ok()) {
    return listening;
  }
  return std::unique_ptr<http_server>(new http_server(std::move(fresh)));
}

http_server::http_server(std::unique_ptr<state> state) : state_(std::move(state)) {}

http_server::~http_server() { Stop(); }

uint16_t http_server::port() const { return state_->port; }

void http_server::CloseIdleConnections(duration idle_for) {
  instant idle_since = MonotonicNow() - idle_for;
  std::lock_guard lock(state_->sockets_mutex);
  for (auto& [socket, connection] : state_->sockets) {
    bool is_idle = connection.idle_since.has_value() && *connection.idle_since <= idle_since;
    if (is_idle && !std::exchange(connection.is_shut, true)) {
      // The connection's thread still reads and answers what has arrived, then closes the socket.
      shutdown(socket, SHUT_RD);
    }
  }
}

void http_server::Stop() {
  std::lock_guard lock(state_->stop_mutex);
  if (std::exchange(state_->stopped, true)) {
    return;
  }
  state_->Drain();
}

}  // namespace wagtail
