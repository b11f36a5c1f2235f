#include "platform/node_main.h"

#include "platform/platform_error.h"

// Included last: its macros must not affect other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::platform {
namespace {

constexpr start_retry_options kOptions{.limit = std::chrono::milliseconds(50),
                                       .interval = std::chrono::milliseconds(5)};

}  // namespace

TEST_GROUP(NodeMain) {
  int made = 0;
  int failures = 0;  ///< number of starts that fail
  platform_error error = platform_error::kUnavailable;

  absl::StatusOr<node_daemon> Start() {
    return StartDaemon(
        {},
        [this](const node_settings&) {
          int number = ++made;
          node_daemon daemon;
          daemon.start = [this, number]() -> absl::Status {
            return number > failures ? absl::OkStatus() : MakeError(error, "taken");
          };
          return daemon;
        },
        kOptions);
  }
};

// Guards against FAULT: a process ended by itself where an address was still held at its start.
TEST(NodeMain, AFailedStartIsTriedAgain) {
  failures = 3;
  CHECK(Start().ok());
  CHECK_EQUAL(4, made);
}

TEST(NodeMain, AStartThatFailsOnEndsWithItsError) {
  failures = 1000;
  CHECK(ErrorOf<platform_error>(Start().status()) == platform_error::kUnavailable);
  CHECK(made > 1);
}

TEST(NodeMain, InvalidSettingsAreNotTriedAgain) {
  failures = 1000;
  error = platform_error::kBadSettings;
  CHECK(!Start().ok());
  CHECK_EQUAL(1, made);
}

}  // namespace wagtail::platform
