#include "services/dispatchd/pending_answer.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string_view>

#include "base/verify.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr duration kTimeout = std::chrono::seconds(5);

}  // namespace

TEST_GROUP(PendingAnswer) {
  std::array<int, 2> sockets{};  ///< of the server and of the caller
  pending_answer pending;

  void setup() override {
    VERIFY(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets.data()) == 0);
  }
  void teardown() override {
    for (int each : sockets) {
      close(each);
    }
  }
  void CallerSends(std::string_view bytes) const {
    VERIFY(send(sockets[1], bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
  }
  /// @return whether the wait ended well before its timeout, without an answer
  bool EndsWithoutAnswer() {
    instant began = MonotonicNow();
    bool answered = pending.Wait(sockets[0], kTimeout).has_value();
    return !answered && MonotonicNow() - began < kTimeout / 2;
  }
};

TEST(PendingAnswer, EndsWhenTheCallerLeaves) {
  shutdown(sockets[1], SHUT_WR);
  CHECK(EndsWithoutAnswer());
}

// Until the deadline of such a caller a thread polled without a pause.
TEST(PendingAnswer, EndsWhenACallerLeavesThatHasSentMore) {
  CallerSends("GET / HTTP/1.1\r\n");
  shutdown(sockets[1], SHUT_WR);
  CHECK(EndsWithoutAnswer());
}

// The server ends the wait in the same way when it closes the connection.
TEST(PendingAnswer, EndsWhenTheServerReadsNoMore) {
  CallerSends("GET / HTTP/1.1\r\n");
  shutdown(sockets[0], SHUT_RD);
  CHECK(EndsWithoutAnswer());
}

TEST(PendingAnswer, ACallerThatSendsMoreGetsTheAnswer) {
  CallerSends("GET / HTTP/1.1\r\n");
  pending.SetAnswer({.outcome = job_outcome::kCompleted});
  CHECK(pending.Wait(sockets[0], kTimeout)->outcome == job_outcome::kCompleted);
}

}  // namespace wagtail::leased
