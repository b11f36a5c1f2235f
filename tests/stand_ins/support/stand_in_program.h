#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "http/http_message.h"
#include "http/http_server.h"
#include "tests/stand_ins/support/control_reader.h"

/// @file
/// Shared parts of the stand-in programs: command line, settings file, HTTP server, graceful stop.

namespace wagtail {

/// One stand-in, served by RunStandIn.
class stand_in {
 public:
  virtual ~stand_in() = default;
  /// @return the listen address and the limits
  virtual http_server_options server_options() const = 0;
  /// Answers one request; called from several threads.
  virtual http_response Handle(const http_request& request) = 0;
  /// Called once, after the server started to listen on `port`.
  virtual void OnListening(uint16_t port) = 0;
  /// Called once, before the server stops; must end all waiting requests.
  virtual void OnStopping() = 0;
};

/// Builds a stand-in from its settings.
using stand_in_factory =
    std::function<absl::StatusOr<std::unique_ptr<stand_in>>(control_reader settings)>;

/// Runs a stand-in until SIGTERM or SIGINT. Prints `listening PORT` once it listens.
/// @return the exit code: 0 done, 1 failed, 2 usage
int RunStandIn(int argc, char** argv, const std::string& description,
               const stand_in_factory& factory);

/// @return an answer with a JSON body
http_response JsonAnswer(int status, const nlohmann::json& body);
/// @return an answer whose body holds the error
http_response ErrorAnswer(int status, std::string_view error);

}  // namespace wagtail
