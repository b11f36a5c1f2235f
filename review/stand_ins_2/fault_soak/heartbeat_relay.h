#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "http/http_server.h"
#include "tests/support/tcp_relay.h"

namespace wagtail::review {

/// What the agent answered to a heartbeat of its target.
struct heartbeat_answer {
  int status = 0;  ///< 0: no answer
  bool draining = false;
  std::string body{};
};

/// Takes the heartbeats of a target stand-in, adds the fields that the stand-in leaves out, and
/// passes them on to the agent.
class heartbeat_relay {
 public:
  using answered_hook = std::function<void(const heartbeat_answer&)>;

  /// @param ip to listen on
  /// @param control IP:PORT of the agent
  heartbeat_relay(const std::string& ip, std::string control);
  ~heartbeat_relay();
  heartbeat_relay(const heartbeat_relay&) = delete;
  heartbeat_relay& operator=(const heartbeat_relay&) = delete;

  /// @return IP:PORT for the target
  std::string address() const;
  /// Sets the hook that receives the answers from now on; it is called on threads of the relay.
  void SetHook(answered_hook answered);

 private:
  http_response PassOn(const http_request& request);

  std::string ip_;
  std::string control_;
  std::mutex mutex_;
  answered_hook answered_ = [](const heartbeat_answer&) {};
  std::unique_ptr<http_server> server_;
};

/// Sends a request to the control address of an agent.
/// @return the status, or 0 without an answer
int SendToControl(const std::string& control, const std::string& path, const std::string& body);

}  // namespace wagtail::review
