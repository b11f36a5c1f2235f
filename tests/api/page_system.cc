#include "tests/api/page_system.h"

#include <thread>
#include <utility>

#include "base/verify.h"
#include "security/digest.h"
#include "services/targetd/targetd_http.h"

namespace wagtail {

namespace {

constexpr duration kLongTask = std::chrono::milliseconds(300);
constexpr const char* kClusterKey = "a-key-of-the-api-test";

std::string UrlOf(uint16_t port) { return "http://127.0.0.1:" + std::to_string(port); }

// A target that sleeps, fails or succeeds as requested by the task body.
http_response RunTask(const http_request& request) {
  if (request.body == "sleep") {
    std::this_thread::sleep_for(kLongTask);
  }
  int status = request.body == "fail" ? 500 : 200;
  return {.status = status, .headers = {}, .body = "done: " + request.body};
}

std::unique_ptr<http_server> Serve(http_handler handler) {
  auto server = http_server::Start({}, std::move(handler));
  VERIFY(server.ok());
  return *std::move(server);
}

target_daemon_options DaemonOptions() {
  target_daemon_options options;
  options.target = "court-1";
  options.failure_domain = "kandy-1";
  options.cluster_key = kClusterKey;
  return options;
}

}  // namespace

page_system::page_system()
    : table_([this](table_operation /*operation*/) {
        return table_is_down_ ? table_fault::kRefuse : table_fault::kNone;
      }),
      target_(Serve(RunTask)),
      entry_1_(MakeEntry("entry-1")),
      entry_2_(MakeEntry("entry-2")),
      daemon_(DaemonOptions(), table_) {
  VERIFY(daemon_.Listen().ok());
  daemon_http_ =
      Serve([this](const http_request& request) { return AnswerTargetdRequest(daemon_, request); });
}

std::unique_ptr<entry_daemon> page_system::MakeEntry(std::string name) {
  entry_daemon_options options;
  options.name = std::move(name);
  options.failure_domain = "kandy-1";
  options.cluster_key = kClusterKey;
  options.bootstrap_token_digest = Sha256Hex("operator-token");
  auto entry = std::make_unique<entry_daemon>(std::move(options), table_);
  VERIFY(entry->Start().ok());
  return entry;
}

std::string page_system::UrlOfHost(const std::string& host) const {
  if (host == "court-1-daemon") {
    return UrlOf(daemon_http_->port());
  }
  VERIFY(host == "entry-1" || host == "entry-2");
  return UrlOf(host == "entry-1" ? entry_1_->http_port() : entry_2_->http_port());
}

std::string page_system::target_url() const { return UrlOf(target_->port()); }

}  // namespace wagtail
