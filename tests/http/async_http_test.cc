#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "async_http/async_http_client.h"
#include "http/http_error.h"
#include "http/http_server.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

constexpr auto kTimeout = std::chrono::seconds(5);

/// @return the error of a call to `peer`
std::optional<http_error> ErrorOfCall(const std::string& peer, duration timeout) {
  event_loop loop;
  std::promise<absl::Status> ended;
  std::unique_ptr<async_http_client> client;
  loop.Run([&] {
    client = std::make_unique<async_http_client>(loop, peer);
    client->Call({.target = "/", .timeout = timeout},
                 [&ended](const absl::StatusOr<http_response>& response) {
                   ended.set_value(response.status());
                 });
  });
  std::future<absl::Status> status = ended.get_future();
  bool done = status.wait_for(kTimeout) == std::future_status::ready;
  std::optional<http_error> error;
  if (done) {
    error = ErrorOf<http_error>(status.get());
  }
  loop.Stop([&client] { client.reset(); });
  return error;
}

}  // namespace

TEST_GROUP(AsyncHttp){};

TEST(AsyncHttp, ARefusedConnectionIsToldFromALostAnswer) {
  uint16_t port = 0;
  {
    auto server = http_server::Start({.address = "127.0.0.1", .port = 0}, [](const http_request&) {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      return http_response{};
    });
    CHECK(server.ok());
    port = (*server)->port();
    std::string peer = "127.0.0.1:" + std::to_string(port);
    CHECK(ErrorOfCall(peer, std::chrono::milliseconds(50)) == http_error::kNoAnswer);
  }
  std::string peer = "127.0.0.1:" + std::to_string(port);
  CHECK(ErrorOfCall(peer, kTimeout) == http_error::kConnectFailed);
}

// Guards against an agent that hung: a header that can't be sent threw through its caller.
TEST(AsyncHttp, AHeaderThatCantBeSentFailsItsCall) {
  event_loop loop;
  std::promise<bool> failed;
  loop.Run([&] {
    async_http_client client(loop, "127.0.0.1:9");
    client.Call({.target = "/", .headers = {{"expect-instance", "i\n\r"}}},
                [&failed](const absl::StatusOr<http_response>& response) {
                  failed.set_value(!response.ok());
                });
  });
  std::future<bool> answer = failed.get_future();
  CHECK(answer.wait_for(kTimeout) == std::future_status::ready);
  CHECK(answer.get());
  loop.Stop();
}

// Guards against FAULT: an agent died of signal 11 when its target's address changed while a call
// to the former one was in flight.
TEST(AsyncHttp, ACallOutlivesItsClient) {
  constexpr int kCalls = 8;
  auto server = http_server::Start({.address = "127.0.0.1", .port = 0}, [](const http_request&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return http_response{.headers = {{"x-odd", "1"}}, .body = "late"};
  });
  CHECK(server.ok());
  event_loop loop;
  std::atomic<int> answered = 0;
  loop.Run([&] {
    async_http_client client(loop, "127.0.0.1:" + std::to_string((*server)->port()));
    for (int call = 0; call < kCalls; ++call) {
      client.Call({.target = "/", .timeout = kTimeout},
                  [&answered](const absl::StatusOr<http_response>& response) {
                    answered += response.ok() && response->body == "late" ? 1 : 0;
                  });
    }
  });
  auto end = std::chrono::steady_clock::now() + kTimeout;
  while (answered < kCalls && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK_EQUAL(kCalls, answered);
  loop.Stop();
}

}  // namespace wagtail
