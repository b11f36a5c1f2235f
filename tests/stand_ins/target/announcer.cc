#include "tests/stand_ins/target/announcer.h"

#include <nlohmann/json.hpp>
#include <string>

#include "http/http_client.h"

namespace wagtail {
namespace {

constexpr auto kRetryAfter = std::chrono::milliseconds(200);
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

}  // namespace

announcer::announcer(const target_settings& settings, uint16_t port)
    : settings_(settings),
      port_(port),
      thread_([this](const std::stop_token& stop) { Run(stop); }) {}

announcer::~announcer() {
  thread_.request_stop();
  thread_.join();
}

void announcer::Run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    bool accepted = Announce();
    accepted_ += accepted ? 1 : 0;
    if (accepted && settings_.announce_every_ms == 0) {
      return;
    }
    duration pause =
        accepted ? std::chrono::milliseconds(settings_.announce_every_ms) : kRetryAfter;
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, stop, pause, [] { return false; });
  }
}

bool announcer::Announce() const {
  nlohmann::json body{
      {"target", settings_.target},
      {"service", settings_.service},
      {"url", "http://" + settings_.address + ":" + std::to_string(port_)},
      {"slots", settings_.slots},
      {"cores", settings_.cores},
      {"memory_mb", settings_.memory_mb},
      {"accelerator", settings_.accelerator},
  };
  auto answer = CallHttp({.method = "POST",
                          .url = settings_.daemon_url + "/v1/announce",
                          .headers = {{"content-type", "application/json"}},
                          .body = body.dump(),
                          .timeout = std::chrono::seconds(1)});
  return answer.ok() && answer->status >= kFirstSuccess && answer->status < kFirstRedirect;
}

}  // namespace wagtail
