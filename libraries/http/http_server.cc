#include "http/http_server.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include "base/verify.h"
#include "http/http_error.h"
#include "http/http_runtime.h"
#include "http/http_server_state.h"

namespace wagtail {
namespace {

/// A connection that sends nothing is accepted only after this time.
constexpr int kDeferAcceptSeconds = 10;
/// Request line, header and libmicrohttpd's own records of a request must fit into this; also the
/// most that is read at once.
constexpr size_t kConnectionPoolBytes = 32 << 10;
/// Handlers parse JSON and write answers; they need a few tens of KiB.
constexpr size_t kThreadStackBytes = 512 << 10;
/// Bounds what the kernel holds of a connection that is not read, and of an answer that its peer
/// does not take. The kernel doubles it. At half the size, reading a body of 262,144 bytes takes
/// three times the processor time.
constexpr int kSocketBufferBytes = 64 << 10;
/// Connections that are being closed and may still exist in addition to max_connections.
constexpr unsigned kMaxClosing = 64;
constexpr unsigned kMaxBacklog = 256;

http_response PlainRefusal(int status, std::string_view error) {
  return {.status = status, .headers = {}, .body = std::string(error) + "\n"};
}

MHD_OptionItem Option(MHD_OPTION option, intptr_t value, void* pointer = nullptr) {
  return {option, value, pointer};
}

unsigned WholeSeconds(duration span) {
  return static_cast<unsigned>(std::chrono::ceil<std::chrono::seconds>(span).count());
}

}  // namespace

std::string_view ToText(http_refusal refusal) {
  switch (refusal) {
    case http_refusal::kBodyTooLarge:
      return "body_too_large";
    case http_refusal::kNoMemory:
      return "no_memory";
    case http_refusal::kNoConnection:
      return "no_connection";
  }
  return "unknown";
}

absl::Status http_server::state::Listen() {
  address.sin_family = AF_INET;
  address.sin_port = htons(options.port);
  if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
    return MakeError(http_error::kListenFailed, "not an IPv4 address: " + options.address);
  }
  // Connections that libmicrohttpd closes for inactivity would be closed by `connections` too.
  duration longest = std::max({options.header_timeout, options.body_timeout, options.idle_timeout});
  std::array<MHD_OptionItem, 10> items{
      {Option(MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&state::OnConnection), this),
       Option(MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&state::OnCompleted), this),
       Option(MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&state::OnUri), this),
       Option(MHD_OPTION_SOCK_ADDR, 0, &address),
       Option(MHD_OPTION_CONNECTION_LIMIT, options.max_connections + kMaxClosing),
       Option(MHD_OPTION_CONNECTION_TIMEOUT, WholeSeconds(longest) + 1),
       Option(MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionPoolBytes),
       Option(MHD_OPTION_THREAD_STACK_SIZE, kThreadStackBytes),
       Option(MHD_OPTION_LISTEN_BACKLOG_SIZE, kMaxBacklog), Option(MHD_OPTION_END, 0)}};
  constexpr unsigned kFlags =
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_ITC;
  daemon = MHD_start_daemon(kFlags, options.port, &state::OnAccept, this, &state::OnRequest, this,
                            MHD_OPTION_ARRAY, items.data(), MHD_OPTION_END);
  if (daemon == nullptr) {
    return MakeError(http_error::kListenFailed,
                     "cannot listen on " + options.address + ":" + std::to_string(options.port));
  }
  int listener = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
  SetSocketOptions(listener);
  sockaddr_in bound{};
  socklen_t length = sizeof(bound);
  VERIFY(getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &length) == 0);
  port = ntohs(bound.sin_port);
  return absl::OkStatus();
}

/// Connections inherit the sizes of their buffers from the listener.
void http_server::state::SetSocketOptions(int listener) const {
  // A caller that only checks whether the port is open then occupies no thread.
  setsockopt(listener, IPPROTO_TCP, TCP_DEFER_ACCEPT, &kDeferAcceptSeconds,
             sizeof(kDeferAcceptSeconds));
  for (int option : {SO_RCVBUF, SO_SNDBUF}) {
    setsockopt(listener, SOL_SOCKET, option, &kSocketBufferBytes, sizeof(kSocketBufferBytes));
  }
}

void http_server::state::Drain() {
  int listener = MHD_quiesce_daemon(daemon);
  {
    std::unique_lock lock(mutex);
    stopping = true;
    drained.wait_for(lock, options.drain_timeout, [this] { return in_progress == 0; });
  }
  MHD_stop_daemon(daemon);
  if (listener >= 0) {
    close(listener);
  }
}

absl::StatusOr<std::unique_ptr<http_server>> http_server::Start(http_server_options options,
                                                                http_handler handler) {
  InitialiseHttpOnce();
  if (options.memory == nullptr) {
    options.memory = std::make_shared<memory_budget>(memory_budget_options{});
  }
  if (!options.hooks.refuse) {
    options.hooks.refuse = &PlainRefusal;
  }
  auto fresh = std::make_unique<state>(std::move(options), std::move(handler));
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
  state_->connections.CloseIdle(idle_for);
}

void http_server::Stop() {
  std::lock_guard lock(state_->stop_mutex);
  if (std::exchange(state_->stopped, true)) {
    return;
  }
  state_->Drain();
}

}  // namespace wagtail
