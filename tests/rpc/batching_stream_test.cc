#include "rpc/batching_stream.h"

#include <kj/debug.h>

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <memory>
#include <string>
#include <vector>

// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

// Data written to a fake connection and the input and faults that it returns.
struct fake_connection_state {
  std::vector<std::string> writes;
  std::string incoming;
  size_t max_read_bytes = SIZE_MAX;
  int reads = 0;
  int shutdowns = 0;
  bool fail_writes = false;
};

class fake_stream final : public kj::AsyncIoStream {
 public:
  explicit fake_stream(fake_connection_state& state) : state_(state) {}

  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override {
    ++state_.reads;
    size_t size =
        std::min({max_bytes, state_.incoming.size(), std::max(min_bytes, state_.max_read_bytes)});
    std::memcpy(buffer, state_.incoming.data(), size);
    state_.incoming.erase(0, size);
    return size;
  }
  kj::Promise<void> write(const void* buffer, size_t size) override {
    if (state_.fail_writes) {
      return KJ_EXCEPTION(DISCONNECTED, "broken");
    }
    state_.writes.emplace_back(static_cast<const char*>(buffer), size);
    return kj::READY_NOW;
  }
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    for (kj::ArrayPtr<const kj::byte> piece : pieces) {
      state_.writes.emplace_back(reinterpret_cast<const char*>(piece.begin()), piece.size());
    }
    return kj::READY_NOW;
  }
  kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
  void shutdownWrite() override { ++state_.shutdowns; }

 private:
  fake_connection_state& state_;
};

// Held by pointer in the group: destructors of kj objects may throw.
struct fixture {
  kj::EventLoop loop;
  kj::WaitScope scope{loop};
  fake_connection_state state;
  kj::Own<kj::AsyncIoStream> stream = Batching(kj::heap<fake_stream>(state));
};

}  // namespace

TEST_GROUP(BatchingStream) {
  std::unique_ptr<fixture> parts = std::make_unique<fixture>();
  kj::WaitScope& scope = parts->scope;
  fake_connection_state& state = parts->state;
  kj::Own<kj::AsyncIoStream>& stream = parts->stream;

  std::string ReadText(size_t min_bytes, size_t max_bytes) {
    std::string text(max_bytes, '\0');
    text.resize(stream->tryRead(text.data(), min_bytes, max_bytes).wait(scope));
    return text;
  }
};

TEST(BatchingStream, WritesOfOneTurnAreSentTogetherInOrder) {
  stream->write("one ", 4).detach([](kj::Exception&&) {});
  stream->write("two ", 4).detach([](kj::Exception&&) {});
  const kj::ArrayPtr<const kj::byte> pieces[] = {kj::StringPtr("three ").asBytes(),
                                                 kj::StringPtr("four").asBytes()};
  stream->write(pieces).detach([](kj::Exception&&) {});
  LONGS_EQUAL(0, state.writes.size());
  scope.poll();
  LONGS_EQUAL(1, state.writes.size());
  STRCMP_EQUAL("one two three four", state.writes.front().c_str());
}

TEST(BatchingStream, WritesOfALaterTurnAreSentSeparately) {
  stream->write("one", 3).wait(scope);
  scope.poll();
  stream->write("two", 3).wait(scope);
  scope.poll();
  LONGS_EQUAL(2, state.writes.size());
  STRCMP_EQUAL("two", state.writes.back().c_str());
}

TEST(BatchingStream, ShutsDownAfterPendingWrites) {
  stream->write("last", 4).detach([](kj::Exception&&) {});
  stream->shutdownWrite();
  LONGS_EQUAL(0, state.shutdowns);
  scope.poll();
  LONGS_EQUAL(1, state.writes.size());
  LONGS_EQUAL(1, state.shutdowns);
}

TEST(BatchingStream, LargeWriteWaitsUntilItIsSent) {
  std::string large(1 << 20, 'x');
  stream->write("head", 4).detach([](kj::Exception&&) {});
  stream->write(large.data(), large.size()).wait(scope);
  std::string sent;
  for (const std::string& piece : state.writes) {
    sent += piece;
  }
  LONGS_EQUAL(large.size() + 4, sent.size());
  STRCMP_EQUAL("headx", sent.substr(0, 5).c_str());
}

TEST(BatchingStream, FailedWriteDoesNotStopTheLoop) {
  state.fail_writes = true;
  stream->write("lost", 4).detach([](kj::Exception&&) {});
  scope.poll();
  stream->write("lost", 4).detach([](kj::Exception&&) {});
  scope.poll();
  LONGS_EQUAL(0, state.writes.size());
}

TEST(BatchingStream, ReadsAheadAndServesLaterReadsFromTheBuffer) {
  state.incoming = "headerbodyheader";
  STRCMP_EQUAL("header", ReadText(6, 6).c_str());
  STRCMP_EQUAL("body", ReadText(4, 4).c_str());
  STRCMP_EQUAL("header", ReadText(1, 100).c_str());
  LONGS_EQUAL(1, state.reads);
}

TEST(BatchingStream, JoinsBufferedBytesWithNewOnes) {
  state.incoming = "abcdef";
  state.max_read_bytes = 4;
  STRCMP_EQUAL("abc", ReadText(3, 3).c_str());
  STRCMP_EQUAL("def", ReadText(3, 3).c_str());
}

TEST(BatchingStream, ReportsAnEndWithinARead) {
  state.incoming = "abcd";
  STRCMP_EQUAL("abc", ReadText(3, 3).c_str());
  STRCMP_EQUAL("d", ReadText(3, 3).c_str());
  STRCMP_EQUAL("", ReadText(1, 3).c_str());
}

TEST(BatchingStream, LargeReadIsComplete) {
  state.incoming = std::string(10'000, 'a') + std::string(10'000, 'b');
  STRCMP_EQUAL("a", ReadText(1, 1).c_str());
  std::string rest = ReadText(19'999, 19'999);
  LONGS_EQUAL(19'999, rest.size());
  LONGS_EQUAL(9'999, rest.find('b'));
}

}  // namespace wagtail
