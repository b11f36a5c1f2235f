#include "review/stand_ins_2/fault_soak/heartbeat_relay.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/verify.h"
#include "http/http_client.h"

namespace wagtail::review {
namespace {

using json = nlohmann::json;

constexpr int kUnavailable = 503;

bool IsDraining(const json& heartbeat) {
  return heartbeat.is_object() && heartbeat.value("state", "") == "draining";
}

/// @return the heartbeat with all fields of the protocol
json Completed(json heartbeat) {
  heartbeat["version"] = "v1";
  heartbeat["slots"] = 8;
  heartbeat["cold_left_ms"] = 0;
  heartbeat["labels"] = {"a", "r1-1"};
  if (IsDraining(heartbeat)) {
    heartbeat["remaining_ms"] = 2000;
  }
  return heartbeat;
}

}  // namespace

int SendToControl(const std::string& control, const std::string& path, const std::string& body) {
  auto answer = CallHttp({.method = "POST",
                          .url = "http://" + control + path,
                          .headers = {{"content-type", "application/json"}},
                          .body = body,
                          .timeout = std::chrono::seconds(1)});
  return answer.ok() ? answer->status : 0;
}

heartbeat_relay::heartbeat_relay(const std::string& ip, std::string control)
    : ip_(ip), control_(std::move(control)) {
  auto started = http_server::Start(
      {.address = ip_}, [this](const http_request& request) { return PassOn(request); });
  VERIFY(started.ok());
  server_ = *std::move(started);
}

heartbeat_relay::~heartbeat_relay() { server_->Stop(); }

std::string heartbeat_relay::address() const { return ip_ + ":" + std::to_string(server_->port()); }

void heartbeat_relay::SetHook(answered_hook answered) {
  std::lock_guard lock(mutex_);
  answered_ = std::move(answered);
}

http_response heartbeat_relay::PassOn(const http_request& request) {
  json body = json::parse(request.body, nullptr, false);
  std::string sent = body.is_object() ? Completed(body).dump() : request.body;
  int status = SendToControl(control_, request.path, sent);
  {
    std::lock_guard lock(mutex_);
    answered_({.status = status, .draining = IsDraining(body), .body = sent});
  }
  return {.status = status == 0 ? kUnavailable : status, .headers = {}, .body = "{}"};
}

}  // namespace wagtail::review
