#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <latch>
#include <stdexcept>
#include <thread>
#include <vector>

#include "base/verify.h"
#include "http/http_client.h"
#include "http/http_error.h"
#include "http/http_server.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

std::string Url(uint16_t port, std::string_view path) {
  return "http://127.0.0.1:" + std::to_string(port) + std::string(path);
}

std::unique_ptr<http_server> Serve(http_handler handler, http_server_options options = {}) {
  auto server = http_server::Start(std::move(options), std::move(handler));
  VERIFY(server.ok());
  return *std::move(server);
}

/// Bound socket, listening or not, that never accepts.
class idle_socket {
 public:
  enum class mode { kListening, kBoundOnly };
  explicit idle_socket(mode mode) : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    VERIFY(bind(descriptor_, reinterpret_cast<sockaddr*>(&address), length) == 0);
    VERIFY(getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length) == 0);
    port_ = ntohs(address.sin_port);
    if (mode == mode::kListening) {
      VERIFY(listen(descriptor_, 16) == 0);
    }
  }
  ~idle_socket() { close(descriptor_); }
  idle_socket(const idle_socket&) = delete;
  idle_socket& operator=(const idle_socket&) = delete;
  uint16_t port() const { return port_; }

 private:
  int descriptor_;
  uint16_t port_ = 0;
};

/// Caller that keeps its connection open between requests.
class kept_connection {
 public:
  explicit kept_connection(uint16_t port) : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    VERIFY(connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    constexpr timeval kTimeout{.tv_sec = 10, .tv_usec = 0};
    VERIFY(setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &kTimeout, sizeof(kTimeout)) == 0);
  }
  ~kept_connection() { close(descriptor_); }
  kept_connection(const kept_connection&) = delete;
  kept_connection& operator=(const kept_connection&) = delete;

  void Send() const {
    std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    VERIFY(send(descriptor_, request.data(), request.size(), 0) ==
           static_cast<ssize_t>(request.size()));
  }
  /// @return what has arrived; empty once the server has closed the connection
  std::string Receive() const {
    std::string text(4096, '\0');
    ssize_t received = recv(descriptor_, text.data(), text.size(), 0);
    VERIFY(received >= 0);
    text.resize(static_cast<size_t>(received));
    return text;
  }

  /// Waits until an answer begins or the server closes or resets the connection.
  void AwaitAnswerOrEnd() const {
    char byte = 0;
    recv(descriptor_, &byte, sizeof(byte), MSG_PEEK);
  }

 private:
  int descriptor_;
};

void CheckError(const absl::StatusOr<http_response>& answer, http_error expected) {
  CHECK_FALSE(answer.ok());
  CHECK(ErrorOf<http_error>(answer.status()) == expected);
}

}  // namespace

TEST_GROUP(Http){};

TEST(Http, CarriesMethodPathQueryHeadersAndBodyBothWays) {
  http_request received;
  auto server = Serve([&received](const http_request& request) {
    received = request;
    std::string body("whole\0answer", 12);
    return http_response{.status = 207, .headers = {{"X-Wagtail-Test", "Yes"}}, .body = body};
  });
  auto answer = CallHttp({.method = "PUT",
                          .url = Url(server->port(), "/v1/a%20b/c?prefix=p%2Fq&after=3&empty="),
                          .headers = {{"X-Wagtail-Job", "J1"}},
                          .body = std::string("raw\0body", 8)});
  CHECK(answer.ok());
  LONGS_EQUAL(207, answer->status);
  CHECK(answer->headers.at("x-wagtail-test") == "Yes");
  CHECK(answer->body == std::string("whole\0answer", 12));
  CHECK(received.method == "PUT");
  CHECK(received.path == "/v1/a b/c");
  CHECK(received.query.at("prefix") == "p/q");
  CHECK(received.query.at("after") == "3");
  CHECK(received.query.at("empty").empty());
  CHECK(received.headers.at("x-wagtail-job") == "J1");
  CHECK(received.body == std::string("raw\0body", 8));
}

TEST(Http, AnswersWithoutABodyArriveWhole) {
  auto server = Serve([](const http_request&) { return http_response{.status = 204}; });
  for (const char* method : {"GET", "POST", "PUT", "DELETE"}) {
    auto answer = CallHttp({.method = method, .url = Url(server->port(), "/")});
    CHECK(answer.ok());
    LONGS_EQUAL(204, answer->status);
    CHECK(answer->body.empty());
  }
}

TEST(Http, RefusesABodyOverTheLimitAndTakesOneAtIt) {
  constexpr size_t kLimit = 100000;
  size_t largest = 0;
  auto server = Serve(
      [&largest](const http_request& request) {
        largest = std::max(largest, request.body.size());
        return http_response{};
      },
      {.max_body_bytes = kLimit});
  auto post = [&server](size_t bytes) {
    return CallHttp(
        {.method = "POST", .url = Url(server->port(), "/"), .body = std::string(bytes, 'x')});
  };
  LONGS_EQUAL(200, post(kLimit)->status);
  LONGS_EQUAL(413, post(kLimit + 1)->status);
  LONGS_EQUAL(413, post(kLimit * 30)->status);
  LONGS_EQUAL(200, post(1)->status);
  LONGS_EQUAL(kLimit, largest);
}

TEST(Http, AHandlerThatThrowsIsAnswered500) {
  auto server = Serve([](const http_request&) -> http_response { throw std::runtime_error("x"); });
  LONGS_EQUAL(500, CallHttp({.url = Url(server->port(), "/")})->status);
  LONGS_EQUAL(500, CallHttp({.url = Url(server->port(), "/")})->status);
}

TEST(Http, FollowsNoRedirect) {
  auto server = Serve([](const http_request& request) {
    if (request.path == "/from") {
      return http_response{.status = 307, .headers = {{"location", "/to"}}};
    }
    return http_response{};
  });
  LONGS_EQUAL(307, CallHttp({.url = Url(server->port(), "/from")})->status);
}

TEST(Http, AnswersCallersConcurrently) {
  constexpr int kCallers = 16;
  std::latch all_inside(kCallers);
  // Every handler waits for the others: handled sequentially, the requests would deadlock.
  auto server = Serve([&all_inside](const http_request& request) {
    all_inside.arrive_and_wait();
    return http_response{.body = request.body};
  });
  std::atomic<int> right = 0;
  {
    std::vector<std::jthread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&, caller] {
        std::string body = "caller " + std::to_string(caller);
        auto answer = CallHttp({.method = "POST", .url = Url(server->port(), "/"), .body = body});
        right += answer.ok() && answer->body == body ? 1 : 0;
      });
    }
  }
  LONGS_EQUAL(kCallers, right);
}

TEST(Http, ARefusedConnectionIsConnectFailed) {
  idle_socket closed(idle_socket::mode::kBoundOnly);
  CheckError(CallHttp({.url = Url(closed.port(), "/")}), http_error::kConnectFailed);
}

TEST(Http, AnUnresponsivePeerIsNoAnswer) {
  idle_socket unresponsive(idle_socket::mode::kListening);
  CheckError(CallHttp({.url = Url(unresponsive.port(), "/"), .timeout = std::chrono::seconds(1)}),
             http_error::kNoAnswer);
}

TEST(Http, RefusesMalformedCalls) {
  for (const char* url :
       {"", "ftp://127.0.0.1:1/", "http://localhost:1/", "http://127.0.0.1/", "http://127.0.0.1:0/",
        "http://127.0.0.1:99999/", "http://127.0.0.1:1/a b", "http://127.0.0.1:1x/"}) {
    CheckError(CallHttp({.url = url}), http_error::kBadCall);
  }
  CheckError(CallHttp({.url = "http://127.0.0.1:1/", .headers = {{"a", "b\r\nc: d"}}}),
             http_error::kBadCall);
}

TEST(Http, TakesNoProxyFromTheEnvironment) {
  auto server = Serve([](const http_request&) { return http_response{.status = 299}; });
  setenv("http_proxy", "http://127.0.0.1:1", 1);
  auto answer = CallHttp({.url = Url(server->port(), "/")});
  unsetenv("http_proxy");
  CHECK(answer.ok());
  LONGS_EQUAL(299, answer->status);
}

TEST(Http, StopWaitsForRequestsInProgress) {
  std::latch inside(1);
  std::latch release(1);
  auto server = Serve([&](const http_request&) {
    inside.count_down();
    release.wait();
    return http_response{.body = "whole"};
  });
  absl::StatusOr<http_response> answer;
  std::jthread caller([&] { answer = CallHttp({.url = Url(server->port(), "/")}); });
  inside.wait();
  std::jthread stopper([&server] { server->Stop(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  release.count_down();
  stopper.join();
  caller.join();
  CHECK(answer.ok());
  CHECK(answer->body == "whole");
  server->Stop();
  CheckError(CallHttp({.url = Url(server->port(), "/")}), http_error::kConnectFailed);
}

// Callers of a server that is about to end would find their connection closed under a request.
TEST(Http, ClosesIdleConnectionsAndAnswersOnTheOthers) {
  std::latch begun{1};
  std::latch released{1};
  std::atomic<int> requests = 0;
  auto server = Serve([&](const http_request&) {
    if (requests++ == 1) {
      begun.count_down();
      released.wait();
    }
    return http_response{.status = 200, .headers = {}, .body = "answer"};
  });
  kept_connection idle(server->port());
  idle.Send();
  STRCMP_CONTAINS("answer", idle.Receive().c_str());
  kept_connection busy(server->port());
  busy.Send();
  begun.wait();
  server->CloseIdleConnections(duration::zero());
  CHECK(idle.Receive().empty());
  released.count_down();
  STRCMP_CONTAINS("answer", busy.Receive().c_str());
  busy.Send();
  STRCMP_CONTAINS("answer", busy.Receive().c_str());
}

// A request that arrives while its connection is being closed was taken for one whose caller had
// gone, since the socket reads as closed.
TEST(Http, ARequestOnAConnectionBeingClosedShowsNoHangUp) {
  constexpr unsigned kRounds = 200;
  std::atomic<unsigned> hang_ups = 0;
  auto server = Serve([&](const http_request& request) {
    char byte = 0;
    bool reads_closed = request.socket >= 0 &&
                        recv(request.socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
    hang_ups += reads_closed ? 1 : 0;
    return http_response{.status = 200, .headers = {}, .body = "answer"};
  });
  for (unsigned round = 0; round < kRounds; ++round) {
    kept_connection caller(server->port());
    caller.Send();
    STRCMP_CONTAINS("answer", caller.Receive().c_str());
    std::thread closing([&] { server->CloseIdleConnections(duration::zero()); });
    caller.Send();
    closing.join();
    caller.AwaitAnswerOrEnd();
  }
  CHECK_EQUAL(0, hang_ups);
}

TEST(Http, ConnectionsBeyondTheLimitAreClosedWithoutAnswer) {
  std::latch inside(2);
  std::latch release(1);
  auto server = Serve(
      [&](const http_request& request) {
        if (request.path == "/hold") {
          inside.count_down();
          release.wait();
        }
        return http_response{};
      },
      {.max_connections = 2});
  auto hold = [&server] { VERIFY(CallHttp({.url = Url(server->port(), "/hold")}).ok()); };
  std::jthread first(hold);
  std::jthread second(hold);
  inside.wait();
  CheckError(CallHttp({.url = Url(server->port(), "/"), .timeout = std::chrono::seconds(1)}),
             http_error::kNoAnswer);
  release.count_down();
  first.join();
  second.join();
  // The server counts a connection until it has observed its close.
  while (!CallHttp({.url = Url(server->port(), "/")}).ok()) {
  }
}

TEST(Http, APortInUseIsReported) {
  auto server = Serve([](const http_request&) { return http_response{}; });
  auto second = http_server::Start({.port = server->port()},
                                   [](const http_request&) { return http_response{}; });
  CHECK(ErrorOf<http_error>(second.status()) == http_error::kListenFailed);
  auto bad_address = http_server::Start({.address = "not an address"},
                                        [](const http_request&) { return http_response{}; });
  CHECK(ErrorOf<http_error>(bad_address.status()) == http_error::kListenFailed);
}

}  // namespace wagtail
