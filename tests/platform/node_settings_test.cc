#include "platform/node_settings.h"

#include "base/layer_error.h"

// Last, since its macros must not reach other headers.
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
}

}  // namespace wagtail::platform
