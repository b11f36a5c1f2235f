#include "platform/node_settings.h"

#include "base/layer_error.h"

// Included last: its macros must not affect other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::platform {
namespace {

const std::string kText =
    "node=entry-1\nip=10.1.0.13\nzone=north\nlisten.front=10.1.0.13:8161\n"
    "listen.control=10.1.0.13:8166\nport_range=7720,7735\n"
    "seeds=10.1.0.13:8166, 10.2.0.30:8166\nbounds.grace_s=6\nbounds.max_hold_ms=1000\n"
    "bounds.resend_ms=1300\nplatform.addr=10.200.1.7:8169\nunknown.key=5\n";

}  // namespace

TEST_GROUP(NodeSettings){};

TEST(NodeSettings, ReadsTheSettings) {
  absl::StatusOr<node_settings> settings = ParseNodeSettings(kText);
  CHECK(settings.ok());
  STRCMP_EQUAL("entry-1", settings->name.c_str());
  STRCMP_EQUAL("10.1.0.13:8161", settings->front.c_str());
  STRCMP_EQUAL("", settings->ready.c_str());
  CHECK_EQUAL(2, settings->seed_ips.size());
  STRCMP_EQUAL("10.2.0.30:7720", settings->SessionAddress(settings->seed_ips[1]).c_str());
  CHECK_EQUAL(6000, ToMilliseconds(settings->grace));
  CHECK_EQUAL(1000, ToMilliseconds(settings->max_lease));
}

TEST(NodeSettings, ReportsTheMissingKey) {
  std::string text = kText;
  text.replace(text.find("zone="), 5, "zome=");
  absl::StatusOr<node_settings> settings = ParseNodeSettings(text);
  CHECK(!settings.ok());
  CHECK(MessageOf(settings.status()).find("zone") != std::string::npos);
}

TEST(NodeSettings, RejectsAMalformedNumber) {
  std::string text = kText;
  text.replace(text.find("grace_s=6"), 9, "grace_s=x");
  CHECK(!ParseNodeSettings(text).ok());
  // Values that are not finite have no meaning as an integer.
  CHECK(!ParseNodeSettings(kText + "limits.memory_mb=nan\n").ok());
  CHECK(!ParseNodeSettings(kText + "limits.max_fds=inf\n").ok());
}

TEST(NodeSettings, ReadsTheLimits) {
  absl::StatusOr<node_settings> settings = ParseNodeSettings(
      kText +
      "limits.memory_mb=160\nlimits.max_fds=1024\nhttp.max_connections=200\n"
      "http.max_request_memory_kb=2048\nhttp.max_job_memory_kb=4096\n"
      "http.header_timeout_ms=1500\n"
      "http.body_timeout_ms=2500\nhttp.idle_timeout_ms=3500\nhttp.handler_grace_ms=4500\n");
  CHECK(settings.ok());
  CHECK_EQUAL(160, settings->memory_mb);
  CHECK_EQUAL(1024, settings->max_fds);
  CHECK(settings->http == (http_settings{.max_connections = 200,
                                         .max_request_memory_bytes = 2 << 20,
                                         .max_job_memory_bytes = 4 << 20,
                                         .header_timeout = std::chrono::milliseconds(1500),
                                         .body_timeout = std::chrono::milliseconds(2500),
                                         .idle_timeout = std::chrono::milliseconds(3500),
                                         .handler_grace = std::chrono::milliseconds(4500)}));
}

TEST(NodeSettings, LimitsAreOptional) {
  absl::StatusOr<node_settings> settings = ParseNodeSettings(kText);
  CHECK(settings.ok());
  CHECK_EQUAL(0, settings->memory_mb);
  CHECK(settings->http == http_settings{});
}

TEST(NodeSettings, RejectsAnInvalidLimitWithItsKey) {
  for (const char* key :
       {"http.max_connections", "http.max_request_memory_kb", "http.max_job_memory_kb",
        "http.header_timeout_ms", "http.body_timeout_ms", "http.idle_timeout_ms",
        "http.handler_grace_ms"}) {
    for (const char* value : {"0", "-1", "x", "1e3", "99999999999999999999", "500x"}) {
      absl::StatusOr<node_settings> settings = ParseNodeSettings(kText + key + "=" + value + "\n");
      CHECK(!settings.ok());
      CHECK(MessageOf(settings.status()).find(key) != std::string::npos);
    }
  }
  absl::StatusOr<node_settings> settings = ParseNodeSettings(kText + "limits.memory_mb=many\n");
  CHECK(MessageOf(settings.status()).find("limits.memory_mb") != std::string::npos);
}

}  // namespace wagtail::platform
