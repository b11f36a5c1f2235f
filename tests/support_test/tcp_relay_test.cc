#include "tests/support/tcp_relay.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/verify.h"
#include "http/http_client.h"
#include "http/http_error.h"
#include "http/http_server.h"
// Included last: CppUTest's macros would break the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

constexpr duration kTestTimeout = std::chrono::seconds(20);

void WaitUntil(const std::function<bool()>& condition) {
  instant timeout = MonotonicNow() + kTestTimeout;
  while (!condition()) {
    VERIFY(MonotonicNow() < timeout);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

/// A blocking connection to a loopback port.
class client {
 public:
  explicit client(uint16_t port) : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  }
  ~client() { close(descriptor_); }
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  bool connected() const { return connected_; }
  void Send(std::string_view text) {
    VERIFY(send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size()));
  }
  /// @return bytes received within 100 ms; empty if none
  std::string Receive() { return Receive(std::chrono::milliseconds(100)); }
  std::string Receive(duration timeout) {
    pollfd wait{.fd = descriptor_, .events = POLLIN, .revents = 0};
    if (poll(&wait, 1, static_cast<int>(ToMilliseconds(timeout))) != 1) {
      return {};
    }
    std::string text(4096, '\0');
    ssize_t count = recv(descriptor_, text.data(), text.size(), 0);
    ended_ = count <= 0;
    text.resize(count > 0 ? static_cast<size_t>(count) : 0);
    return text;
  }
  /// @return whether the last Receive reached the end of the stream
  bool ended() const { return ended_; }

 private:
  int descriptor_;
  bool connected_ = false;
  bool ended_ = false;
};

std::unique_ptr<http_server> EchoServer() {
  auto server = http_server::Start(
      {}, [](const http_request& request) { return http_response{.body = request.body}; });
  VERIFY(server.ok());
  return *std::move(server);
}

constexpr std::string_view kKeepAliveRequest =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nping";

absl::StatusOr<http_response> Post(uint16_t port, std::string body) {
  return CallHttp({.method = "POST",
                   .url = "http://127.0.0.1:" + std::to_string(port) + "/",
                   .body = std::move(body),
                   .timeout = std::chrono::seconds(1)});
}

}  // namespace

TEST_GROUP(TcpRelay) {
  std::unique_ptr<http_server> server = EchoServer();
  tcp_relay relay{server->port()};
};

TEST(TcpRelay, PassesBytesBothWays) {
  std::string body(3'000'000, 'x');
  auto answer = Post(relay.port(), body);
  CHECK(answer.ok());
  CHECK(answer->body == body);
  client connection(relay.port());
  for (int round = 0; round < 3; ++round) {
    connection.Send(kKeepAliveRequest);
    CHECK(connection.Receive(kTestTimeout).ends_with("ping"));
  }
}

TEST(TcpRelay, SilencesOpenConnectionsPermanentlyButNotNewOnes) {
  client old(relay.port());
  old.Send(kKeepAliveRequest);
  CHECK(old.Receive(kTestTimeout).ends_with("ping"));
  relay.SetMode(relay_mode::kSilent);
  old.Send(kKeepAliveRequest);
  CHECK(old.Receive().empty());
  CHECK_FALSE(old.ended());
  CHECK(Post(relay.port(), "new").ok());
  relay.SetMode(relay_mode::kPass);
  old.Send(kKeepAliveRequest);
  CHECK(old.Receive().empty());
  CHECK_FALSE(old.ended());
  CHECK(Post(relay.port(), "newer").ok());
}

TEST(TcpRelay, ASilentConnectionHidesTheEndOfItsStream) {
  client old(relay.port());
  old.Send(kKeepAliveRequest);
  CHECK(old.Receive(kTestTimeout).ends_with("ping"));
  relay.SetMode(relay_mode::kSilent);
  server->Stop();
  CHECK(old.Receive().empty());
  CHECK_FALSE(old.ended());
}

TEST(TcpRelay, ABlackHoleAcceptsAndNeverAnswers) {
  relay.SetMode(relay_mode::kBlackHole);
  auto answer = Post(relay.port(), "lost");
  CHECK(ErrorOf<http_error>(answer.status()) == http_error::kNoAnswer);
  relay.SetMode(relay_mode::kPass);
  CHECK(Post(relay.port(), "found").ok());
}

TEST(TcpRelay, ACutClosesAndRefusesConnectionsUntilPass) {
  client old(relay.port());
  old.Send(kKeepAliveRequest);
  CHECK(old.Receive(kTestTimeout).ends_with("ping"));
  relay.SetMode(relay_mode::kCut);
  CHECK(old.Receive(kTestTimeout).empty());
  CHECK(old.ended());
  auto answer = Post(relay.port(), "refused");
  CHECK(ErrorOf<http_error>(answer.status()) == http_error::kConnectFailed);
  relay.SetMode(relay_mode::kCut);
  relay.SetMode(relay_mode::kPass);
  CHECK(Post(relay.port(), "mended").ok());
}

TEST(TcpRelay, FollowsItsDestinationAndClosesWhenItIsUnreachable) {
  uint16_t gone = server->port();
  server->Stop();
  client refused(relay.port());
  CHECK(refused.Receive(kTestTimeout).empty());
  CHECK(refused.ended());
  auto other = EchoServer();
  relay.SetDestination(other->port());
  CHECK(Post(relay.port(), "moved").ok());
  CHECK(gone != 0);
}

TEST(TcpRelay, DelaysBytesByTheDelayOfTheirDirection) {
  relay.SetDelay(std::chrono::milliseconds(30), std::chrono::milliseconds(20));
  client connection(relay.port());
  instant sent = MonotonicNow();
  connection.Send(kKeepAliveRequest);
  CHECK(connection.Receive(kTestTimeout).ends_with("ping"));
  CHECK(MonotonicNow() - sent >= std::chrono::milliseconds(50));
}

TEST(TcpRelay, RemovesConnectionsClosedByBothEnds) {
  CHECK(Post(relay.port(), "one").ok());
  WaitUntil([this] { return relay.open_connections() == 0; });
}

}  // namespace wagtail
