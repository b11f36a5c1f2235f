#pragma once

#include <microhttpd.h>
#include <netinet/in.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string_view>
#include <utility>

#include "absl/status/status.h"
#include "http/http_server.h"
#include "http/open_connections.h"
#include "http/request_exchange.h"

namespace wagtail {

/// A running server: http_server.cc starts and stops it, http_server_state.cc has the callbacks of
/// libmicrohttpd. Counts the requests being answered, so that Stop can wait for them.
struct http_server::state {
  state(http_server_options chosen, http_handler answer)
      : options(std::move(chosen)),
        handler(std::move(answer)),
        connections({.max_connections = options.max_connections,
                     .header_timeout = options.header_timeout,
                     .body_timeout = options.body_timeout,
                     .idle_timeout = options.idle_timeout,
                     .handler_grace = options.handler_grace},
                    options.hooks.closed) {}

  http_server_options options;
  http_handler handler;
  open_connections connections;
  MHD_Daemon* daemon = nullptr;
  sockaddr_in address{};
  uint16_t port = 0;
  std::atomic<bool> stopping = false;
  bool stopped = false;
  std::mutex stop_mutex;
  std::mutex mutex;
  std::condition_variable drained;
  unsigned in_progress = 0;

  absl::Status Listen();
  void SetSocketOptions(int listener) const;
  void Drain();
  bool BeginRequest();
  void EndRequest();
  size_t MaxBodyBytes() const;
  http_response Handle(const http_request& request) const;
  void NoteRefusal(body_verdict verdict);
  MHD_Result Refuse(MHD_Connection* connection, request_exchange& exchange);
  MHD_Result BeginBody(MHD_Connection* connection, request_exchange& exchange);
  MHD_Result ReadBody(request_exchange& exchange, std::string_view part);
  MHD_Result Answer(MHD_Connection* connection, request_exchange& exchange, const char* method);

  static MHD_Result OnAccept(void* self, const sockaddr* address, socklen_t length);
  static void OnConnection(void* self, MHD_Connection* connection, void** context,
                           MHD_ConnectionNotificationCode code);
  static void* OnUri(void* self, const char* uri, MHD_Connection* connection);
  static MHD_Result OnRequest(void* self, MHD_Connection* connection, const char* url,
                              const char* method, const char* version, const char* part,
                              size_t* part_size, void** context);
  static void OnCompleted(void* self, MHD_Connection* connection, void** context,
                          MHD_RequestTerminationCode code);
};

}  // namespace wagtail
