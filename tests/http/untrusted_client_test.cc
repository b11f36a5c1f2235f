#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/verify.h"
#include "http/http_server.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

/// Connection that sends whatever it is told to.
class raw_client {
 public:
  explicit raw_client(uint16_t port) : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    VERIFY(connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    constexpr timeval kTimeout{.tv_sec = 60, .tv_usec = 0};
    VERIFY(setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &kTimeout, sizeof(kTimeout)) == 0);
  }
  ~raw_client() { close(descriptor_); }
  raw_client(const raw_client&) = delete;
  raw_client& operator=(const raw_client&) = delete;

  /// Sends as much as the server takes.
  void Send(std::string_view text) const {
    while (!text.empty()) {
      ssize_t sent = send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return;
      }
      text.remove_prefix(static_cast<size_t>(sent));
    }
  }
  /// @return all bytes until the server closes the connection
  std::string ReceiveAll() const {
    std::string all;
    std::string part(4096, '\0');
    ssize_t received = 0;
    while ((received = recv(descriptor_, part.data(), part.size(), 0)) > 0) {
      all.append(part, 0, static_cast<size_t>(received));
    }
    VERIFY(received == 0 || errno == ECONNRESET);
    return all;
  }

 private:
  int descriptor_;
};

std::string Head(size_t length, std::string_view more = "") {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n" +
         std::string(more) + "\r\n";
}

std::string Chunk(size_t bytes) {
  char digits[20];
  std::snprintf(digits, sizeof(digits), "%zx\r\n", bytes);
  return digits + std::string(bytes, 'x') + "\r\n";
}

constexpr const char* kChunkedHead =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
constexpr const char* kGet = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

}  // namespace

TEST_GROUP(UntrustedClient) {
  std::atomic<int> handled = 0;
  std::atomic<size_t> body_bytes = 0;
  std::atomic<int> closed[6] = {};
  std::atomic<int> refused[3] = {};
  std::shared_ptr<memory_budget> memory = std::make_shared<memory_budget>(
      memory_budget_options{.total_bytes = 400 << 10, .small_reserve_bytes = 100 << 10});

  std::unique_ptr<http_server> Serve(http_server_options options) {
    options.memory = memory;
    options.hooks.refused = [this](http_refusal why) { ++refused[static_cast<int>(why)]; };
    options.hooks.closed = [this](closing_reason why) { ++closed[static_cast<int>(why)]; };
    auto server = http_server::Start(std::move(options), [this](const http_request& request) {
      ++handled;
      body_bytes = request.body.size();
      return http_response{.body = "answer"};
    });
    VERIFY(server.ok());
    return *std::move(server);
  }
  int Closed(closing_reason why) const { return closed[static_cast<int>(why)]; }
  int Refused(http_refusal why) const { return refused[static_cast<int>(why)]; }
  void AwaitHeld(size_t bytes) const {
    while (memory->held_bytes() != bytes) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
};

// The whole body was read, and buffered, before it was refused.
TEST(UntrustedClient, AnAnnouncedLengthOverTheLimitIsAnsweredBeforeTheBody) {
  auto server = Serve({.max_body_bytes = 1000});
  raw_client client(server->port());
  client.Send(Head(1001));
  STRCMP_CONTAINS("413", client.ReceiveAll().c_str());
  raw_client expecting(server->port());
  expecting.Send(Head(1001, "Expect: 100-continue\r\n"));
  std::string answer = expecting.ReceiveAll();
  STRCMP_CONTAINS("413", answer.c_str());
  CHECK(answer.find("100 Continue") == std::string::npos);
  CHECK_EQUAL(2, Refused(http_refusal::kBodyTooLarge));
  CHECK_EQUAL(0, handled);
}

// A reset, caused by unread bytes at the close, took the answer from a client that was sending.
TEST(UntrustedClient, AClientThatIsSendingStillReadsTheRefusal) {
  auto server = Serve({.max_body_bytes = 1000});
  for (int round = 0; round < 20; ++round) {
    raw_client client(server->port());
    client.Send(Head(2 << 20) + std::string(2 << 20, 'x'));
    STRCMP_CONTAINS("413", client.ReceiveAll().c_str());
  }
}

TEST(UntrustedClient, TheLimitFollowsTheHook) {
  std::atomic<size_t> limit = 10;
  auto server = Serve(
      {.max_body_bytes = 1000, .hooks = {.max_body_bytes = [&limit] { return limit.load(); }}});
  raw_client refused_client(server->port());
  refused_client.Send(Head(11));
  STRCMP_CONTAINS("413", refused_client.ReceiveAll().c_str());
  limit = 11;
  raw_client accepted(server->port());
  accepted.Send(Head(11, "Connection: close\r\n") + std::string(11, 'x'));
  STRCMP_CONTAINS("200", accepted.ReceiveAll().c_str());
}

// Unfinished bodies held all of the memory.
TEST(UntrustedClient, WithoutMemoryLargeBodiesAreRefusedAndSmallOnesServed) {
  auto server = Serve({});
  raw_client holder(server->port());
  holder.Send(Head(300 << 10) + std::string(200 << 10, 'x'));
  AwaitHeld(300 << 10);
  raw_client large(server->port());
  large.Send(Head(100 << 10));
  std::string answer = large.ReceiveAll();
  STRCMP_CONTAINS("503", answer.c_str());
  STRCMP_CONTAINS("etry-after: 1", answer.c_str());
  raw_client small(server->port());
  small.Send(Head(10 << 10, "Connection: close\r\n") + std::string(10 << 10, 'x'));
  STRCMP_CONTAINS("200", small.ReceiveAll().c_str());
  CHECK_EQUAL(1, Refused(http_refusal::kNoMemory));
  CHECK_EQUAL(1, handled);
}

// Otherwise the unfinished body would keep out every other large one until its time is over.
TEST(UntrustedClient, AnOldUnfinishedBodyGivesWayToAnother) {
  auto server = Serve({});
  raw_client holder(server->port());
  holder.Send(Head(300 << 10) + std::string(200 << 10, 'x'));
  AwaitHeld(300 << 10);
  std::string answer;
  while (answer.find("200 OK") == std::string::npos) {
    raw_client large(server->port());
    large.Send(Head(100 << 10, "Connection: close\r\n") + std::string(100 << 10, 'x'));
    answer = large.ReceiveAll();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK(holder.ReceiveAll().empty());
  CHECK_EQUAL(1, Closed(closing_reason::kMemory));
}

TEST(UntrustedClient, AChunkedBodyAtTheLimitIsServedAndOneOverItRefused) {
  constexpr size_t kLimit = 100'000;
  auto server = Serve({.max_body_bytes = kLimit});
  raw_client at_limit(server->port());
  at_limit.Send(kChunkedHead + Chunk(1) + Chunk(50'000) + Chunk(49'999) + "0\r\n\r\n");
  STRCMP_CONTAINS("200", at_limit.ReceiveAll().c_str());
  CHECK_EQUAL(kLimit, body_bytes);
  raw_client over(server->port());
  over.Send(kChunkedHead + Chunk(50'000) + Chunk(50'001) + "0\r\n\r\n");
  STRCMP_CONTAINS("413", over.ReceiveAll().c_str());
  CHECK_EQUAL(1, handled);
}

TEST(UntrustedClient, AnEndlessChunkedBodyEndsItsConnection) {
  auto server = Serve({.max_body_bytes = 100'000});
  raw_client client(server->port());
  client.Send(kChunkedHead);
  std::string chunk = Chunk(64 << 10);
  for (int chunks = 0; chunks < 400; ++chunks) {
    client.Send(chunk);
  }
  client.ReceiveAll();
  CHECK_EQUAL(0, handled);
  AwaitHeld(0);
}

// 0.5 million chunks of one byte must cost no more memory than their bytes.
TEST(UntrustedClient, VerySmallChunksCountAsTheirBytes) {
  auto server = Serve({.max_body_bytes = 60'000});
  raw_client client(server->port());
  std::string text = kChunkedHead;
  for (int chunks = 0; chunks < 60'000; ++chunks) {
    text += "1\r\nx\r\n";
  }
  client.Send(text);
  client.Send("0\r\n\r\n");
  STRCMP_CONTAINS("200", client.ReceiveAll().c_str());
  CHECK_EQUAL(60'000, body_bytes);
}

// Clients that stop short of the end of their requests used up all connections.
TEST(UntrustedClient, AtTheConnectionLimitANewClientIsServed) {
  auto server = Serve({.max_connections = 4});
  std::vector<std::unique_ptr<raw_client>> holders;
  for (int holder = 0; holder < 12; ++holder) {
    holders.push_back(std::make_unique<raw_client>(server->port()));
    holders.back()->Send(Head(10) + "x");
  }
  raw_client client(server->port());
  client.Send(kGet);
  STRCMP_CONTAINS("200", client.ReceiveAll().c_str());
  CHECK(holders.front()->ReceiveAll().empty());
  CHECK(Closed(closing_reason::kConnections) >= 8);
}

TEST(UntrustedClient, AnUnfinishedHeaderEndsItsConnection) {
  auto server = Serve({.header_timeout = std::chrono::milliseconds(100)});
  raw_client client(server->port());
  client.Send("POST / HTTP/1.1\r\nHost: h\r\n");
  CHECK(client.ReceiveAll().empty());
  CHECK_EQUAL(1, Closed(closing_reason::kHeaderTime));
}

TEST(UntrustedClient, AnUnfinishedBodyEndsItsConnection) {
  auto server = Serve({.body_timeout = std::chrono::milliseconds(100)});
  raw_client client(server->port());
  client.Send(Head(10) + "x");
  CHECK(client.ReceiveAll().empty());
  CHECK_EQUAL(1, Closed(closing_reason::kBodyTime));
}

TEST(UntrustedClient, AnIdleConnectionEnds) {
  auto server = Serve({.idle_timeout = std::chrono::seconds(1)});
  raw_client client(server->port());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  STRCMP_CONTAINS("200", client.ReceiveAll().c_str());
  CHECK_EQUAL(1, Closed(closing_reason::kIdleTime));
}

TEST(UntrustedClient, AnEndlessHeaderIsRefused) {
  auto server = Serve({});
  raw_client client(server->port());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n");
  for (int lines = 0; lines < 100; ++lines) {
    client.Send("a-" + std::to_string(lines) + ": " + std::string(1000, 'x') + "\r\n");
  }
  client.Send("\r\n");
  client.ReceiveAll();
  CHECK_EQUAL(0, handled);
}

// Callers' headers of up to 16 KiB are within the limits.
TEST(UntrustedClient, AHeaderOf16KiBIsServed) {
  auto server = Serve({});
  raw_client client(server->port());
  std::string text = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";
  for (int lines = 0; lines < 16; ++lines) {
    text += "a-" + std::to_string(lines) + ": " + std::string(1000, 'x') + "\r\n";
  }
  client.Send(text + "\r\n");
  STRCMP_CONTAINS("200", client.ReceiveAll().c_str());
}

// Parts of the budget that a broken connection kept would add up until nothing is left.
TEST(UntrustedClient, ABrokenConnectionGivesItsMemoryBack) {
  auto server = Serve({});
  for (int round = 0; round < 20; ++round) {
    {
      raw_client length(server->port());
      length.Send(Head(100 << 10) + std::string(50 << 10, 'x'));
      AwaitHeld(100 << 10);
    }
    AwaitHeld(0);
    {
      raw_client chunked(server->port());
      chunked.Send(kChunkedHead + Chunk(1 << 10));
      AwaitHeld(1 << 10);
    }
    AwaitHeld(0);
  }
}

// Handlers that wait for a day held all connections.
TEST(UntrustedClient, AHandlerOverItsGraceGivesWayAndItsAnswerIsSent) {
  http_server_options options{.max_connections = 1, .handler_grace = std::chrono::milliseconds(50)};
  options.hooks.closed = [this](closing_reason why) { ++closed[static_cast<int>(why)]; };
  auto server = http_server::Start(options, [this](const http_request& request) {
    if (request.method == "POST") {
      ++handled;
      pollfd caller{.fd = request.socket, .events = POLLRDHUP, .revents = 0};
      poll(&caller, 1, -1);
    }
    return http_response{.headers = {{"connection", "close"}}, .body = request.method};
  });
  VERIFY(server.ok());
  raw_client waiting((*server)->port());
  waiting.Send(Head(0));
  while (handled == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  std::string answer;
  while (answer.empty()) {
    raw_client other((*server)->port());
    other.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    answer = other.ReceiveAll();
  }
  STRCMP_CONTAINS("GET", answer.c_str());
  STRCMP_CONTAINS("POST", waiting.ReceiveAll().c_str());
  CHECK_EQUAL(1, Closed(closing_reason::kHandlerTime));
}

}  // namespace wagtail
