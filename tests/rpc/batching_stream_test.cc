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

// What a fake connection was told and is to answer.
struct connection_script {
  std::vector<std::string> writes;
  std::string incoming;
  size_t largest_read = SIZE_MAX;
  int reads = 0;
  int shutdowns = 0;
  bool fails = false;
};

class fake_stream final : public kj::AsyncIoStream {
 public:
  explicit fake_stream(connection_script& script) : script_(script) {}

  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override {
    ++script_.reads;
    size_t size =
        std::min({max_bytes, script_.incoming.size(), std::max(min_bytes, script_.largest_read)});
    std::memcpy(buffer, script_.incoming.data(), size);
    script_.incoming.erase(0, size);
    return size;
  }
  kj::Promise<void> write(const void* buffer, size_t size) override {
    if (script_.fails) {
      return KJ_EXCEPTION(DISCONNECTED, "broken");
    }
    script_.writes.emplace_back(static_cast<const char*>(buffer), size);
    return kj::READY_NOW;
  }
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    for (kj::ArrayPtr<const kj::byte> piece : pieces) {
      script_.writes.emplace_back(reinterpret_cast<const char*>(piece.begin()), piece.size());
    }
    return kj::READY_NOW;
  }
  kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
  void shutdownWrite() override { ++script_.shutdowns; }

 private:
  connection_script& script_;
};

// Destroyed with exceptions allowed, as the library's objects ask for.
struct fixture {
  kj::EventLoop loop;
  kj::WaitScope scope{loop};
  connection_script script;
  kj::Own<kj::AsyncIoStream> stream = Batching(kj::heap<fake_stream>(script));
};

}  // namespace

TEST_GROUP(BatchingStream) {
  std::unique_ptr<fixture> parts = std::make_unique<fixture>();
  kj::WaitScope& scope = parts->scope;
  connection_script& script = parts->script;
  kj::Own<kj::AsyncIoStream>& stream = parts->stream;

  std::string ReadText(size_t least, size_t most) {
    std::string text(most, '\0');
    text.resize(stream->tryRead(text.data(), least, most).wait(scope));
    return text;
  }
};

TEST(BatchingStream, WritesOfOneTurnAreSentTogetherInOrder) {
  stream->write("one ", 4).detach([](kj::Exception&&) {});
  stream->write("two ", 4).detach([](kj::Exception&&) {});
  const kj::ArrayPtr<const kj::byte> pieces[] = {kj::StringPtr("three ").asBytes(),
                                                 kj::StringPtr("four").asBytes()};
  stream->write(pieces).detach([](kj::Exception&&) {});
  LONGS_EQUAL(0, script.writes.size());
  scope.poll();
  LONGS_EQUAL(1, script.writes.size());
  STRCMP_EQUAL("one two three four", script.writes.front().c_str());
}

TEST(BatchingStream, WritesOfALaterTurnAreSentSeparately) {
  stream->write("one", 3).wait(scope);
  scope.poll();
  stream->write("two", 3).wait(scope);
  scope.poll();
  LONGS_EQUAL(2, script.writes.size());
  STRCMP_EQUAL("two", script.writes.back().c_str());
}

TEST(BatchingStream, ShutsDownAfterPendingWrites) {
  stream->write("last", 4).detach([](kj::Exception&&) {});
  stream->shutdownWrite();
  LONGS_EQUAL(0, script.shutdowns);
  scope.poll();
  LONGS_EQUAL(1, script.writes.size());
  LONGS_EQUAL(1, script.shutdowns);
}

TEST(BatchingStream, LargeWriteWaitsUntilItIsSent) {
  std::string large(1 << 20, 'x');
  stream->write("head", 4).detach([](kj::Exception&&) {});
  stream->write(large.data(), large.size()).wait(scope);
  std::string sent;
  for (const std::string& piece : script.writes) {
    sent += piece;
  }
  LONGS_EQUAL(large.size() + 4, sent.size());
  STRCMP_EQUAL("headx", sent.substr(0, 5).c_str());
}

TEST(BatchingStream, FailedWriteDoesNotStopTheLoop) {
  script.fails = true;
  stream->write("lost", 4).detach([](kj::Exception&&) {});
  scope.poll();
  stream->write("lost", 4).detach([](kj::Exception&&) {});
  scope.poll();
  LONGS_EQUAL(0, script.writes.size());
}

TEST(BatchingStream, ReadsAheadAndServesLaterReadsFromTheBuffer) {
  script.incoming = "headerbodyheader";
  STRCMP_EQUAL("header", ReadText(6, 6).c_str());
  STRCMP_EQUAL("body", ReadText(4, 4).c_str());
  STRCMP_EQUAL("header", ReadText(1, 100).c_str());
  LONGS_EQUAL(1, script.reads);
}

TEST(BatchingStream, JoinsBufferedBytesWithNewOnes) {
  script.incoming = "abcdef";
  script.largest_read = 4;
  STRCMP_EQUAL("abc", ReadText(3, 3).c_str());
  STRCMP_EQUAL("def", ReadText(3, 3).c_str());
}

TEST(BatchingStream, ReportsAnEndWithinARead) {
  script.incoming = "abcd";
  STRCMP_EQUAL("abc", ReadText(3, 3).c_str());
  STRCMP_EQUAL("d", ReadText(3, 3).c_str());
  STRCMP_EQUAL("", ReadText(1, 3).c_str());
}

TEST(BatchingStream, LargeReadIsComplete) {
  script.incoming = std::string(10'000, 'a') + std::string(10'000, 'b');
  STRCMP_EQUAL("a", ReadText(1, 1).c_str());
  std::string rest = ReadText(19'999, 19'999);
  LONGS_EQUAL(19'999, rest.size());
  LONGS_EQUAL(9'999, rest.find('b'));
}

}  // namespace wagtail
