#include "http/http_server_state.h"

#include <algorithm>
#include <exception>
#include <memory>
#include <utility>

namespace wagtail {
namespace {

constexpr int kBodyTooLarge = 413;
constexpr int kHandlerFailed = 500;
constexpr int kUnavailable = 503;

}  // namespace

MHD_Result http_server::state::OnAccept(void* self, const sockaddr* /*address*/,
                                        socklen_t /*length*/) {
  auto* server = static_cast<state*>(self);
  if (server->connections.Admit()) {
    return MHD_YES;
  }
  server->options.hooks.refused(http_refusal::kNoConnection);
  return MHD_NO;
}

void http_server::state::OnConnection(void* self, MHD_Connection* connection, void** /*context*/,
                                      MHD_ConnectionNotificationCode code) {
  auto* server = static_cast<state*>(self);
  bool is_new = code == MHD_CONNECTION_NOTIFY_STARTED;
  if (is_new) {
    server->connections.Open(SocketOf(connection));
  } else {
    server->connections.Remove(SocketOf(connection));
  }
  server->options.hooks.connections_changed(is_new ? 1 : -1);
}

void* http_server::state::OnUri(void* self, const char* uri, MHD_Connection* connection) {
  static_cast<state*>(self)->connections.Enter(SocketOf(connection), connection_phase::kHeader);
  return new request_exchange(uri);  // deleted by OnCompleted
}

MHD_Result http_server::state::OnRequest(void* self, MHD_Connection* connection,
                                         const char* /*url*/, const char* method,
                                         const char* /*version*/, const char* part,
                                         size_t* part_size, void** context) {
  auto* server = static_cast<state*>(self);
  auto& exchange = *static_cast<request_exchange*>(*context);
  try {
    if (!exchange.has_body_begun()) {
      return server->BeginBody(connection, exchange);
    }
    if (*part_size > 0) {
      return server->ReadBody(exchange, {part, std::exchange(*part_size, 0)});
    }
    return server->Answer(connection, exchange, method);
  } catch (const std::exception&) {
    return MHD_NO;  // out of memory: closes the connection
  }
}

void http_server::state::OnCompleted(void* self, MHD_Connection* connection, void** context,
                                     MHD_RequestTerminationCode code) {
  auto* server = static_cast<state*>(self);
  std::unique_ptr<request_exchange> exchange(static_cast<request_exchange*>(*context));
  *context = nullptr;
  if (exchange == nullptr) {
    return;
  }
  bool is_counted = exchange->is_counted;
  bool is_refused = exchange->is_refused;
  exchange.reset();  // releases its part of the budget
  if (is_counted) {
    server->EndRequest();
  }
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
    return;
  }
  if (is_refused) {
    DiscardRest(SocketOf(connection));
  } else {
    server->connections.Complete(SocketOf(connection));
  }
}

size_t http_server::state::MaxBodyBytes() const {
  return options.hooks.max_body_bytes
             ? std::min(options.max_body_bytes, options.hooks.max_body_bytes())
             : options.max_body_bytes;
}

void http_server::state::NoteRefusal(body_verdict verdict) {
  if (verdict == body_verdict::kTooLarge) {
    options.hooks.refused(http_refusal::kBodyTooLarge);
    return;
  }
  connections.CloseSlowestBody();
  options.hooks.refused(http_refusal::kNoMemory);
}

MHD_Result http_server::state::Refuse(MHD_Connection* connection, request_exchange& exchange) {
  exchange.is_refused = true;
  connections.Enter(SocketOf(connection), connection_phase::kAnswering);
  bool too_large = exchange.body().verdict() == body_verdict::kTooLarge;
  http_response refusal = too_large ? options.hooks.refuse(kBodyTooLarge, "body_too_large")
                                    : options.hooks.refuse(kUnavailable, "no_memory");
  if (!too_large) {
    refusal.headers["retry-after"] = "1";
  }
  refusal.headers["connection"] = "close";
  return QueueAnswer(connection, std::move(refusal));
}

MHD_Result http_server::state::BeginBody(MHD_Connection* connection, request_exchange& exchange) {
  if (!connections.Enter(SocketOf(connection), connection_phase::kBody)) {
    return MHD_NO;
  }
  body_verdict verdict = exchange.BeginBody(connection, *options.memory, MaxBodyBytes());
  if (verdict == body_verdict::kAccepted) {
    return MHD_YES;
  }
  NoteRefusal(verdict);
  return Refuse(connection, exchange);
}

MHD_Result http_server::state::ReadBody(request_exchange& exchange, std::string_view part) {
  request_body& body = exchange.body();
  bool was_accepted = body.verdict() == body_verdict::kAccepted;
  body_verdict verdict = body.Append(part);
  if (was_accepted && verdict != body_verdict::kAccepted) {
    NoteRefusal(verdict);
  }
  // libmicrohttpd answers only before a body or after it, so the rest is discarded.
  return body.discarded_bytes() > kMaxDiscardedBytes ? MHD_NO : MHD_YES;
}

MHD_Result http_server::state::Answer(MHD_Connection* connection, request_exchange& exchange,
                                      const char* method) {
  if (exchange.body().verdict() != body_verdict::kAccepted) {
    return Refuse(connection, exchange);
  }
  int socket = SocketOf(connection);
  if (!connections.Enter(socket, connection_phase::kHandling)) {
    return MHD_NO;  // already closed: the peer could not get an answer
  }
  http_response answer;
  if (BeginRequest()) {
    exchange.is_counted = true;
    http_request request = exchange.Take(connection, method);
    // A socket that was shut reads as if the caller had closed it.
    request.socket = connections.IsReadShut(socket) ? -1 : socket;
    answer = Handle(request);
  } else {
    answer = {.status = kUnavailable, .headers = {}, .body = "stopping\n"};
  }
  if (stopping) {
    answer.headers["connection"] = "close";
  }
  connections.Enter(socket, connection_phase::kAnswering);
  return QueueAnswer(connection, std::move(answer));
}

http_response http_server::state::Handle(const http_request& request) const {
  try {
    return handler(request);
  } catch (const std::exception&) {
    return {.status = kHandlerFailed, .headers = {}, .body = "internal error\n"};
  } catch (...) {
    return {.status = kHandlerFailed, .headers = {}, .body = "internal error\n"};
  }
}

bool http_server::state::BeginRequest() {
  std::lock_guard lock(mutex);
  if (stopping) {
    return false;
  }
  ++in_progress;
  return true;
}

void http_server::state::EndRequest() {
  std::lock_guard lock(mutex);
  --in_progress;
  drained.notify_all();
}

}  // namespace wagtail
