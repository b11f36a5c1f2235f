#include "rpc/message_stream.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

constexpr auto kTimeout = std::chrono::seconds(20);
constexpr size_t kLongMessageBytes = 100'000;

}  // namespace

TEST_GROUP(MessageStream) {
  // Both held by pointer: their destructors may throw, but the group's destructor may not.
  std::unique_ptr<event_loop> loop = std::make_unique<event_loop>();
  std::unique_ptr<kj::Own<kj::AsyncIoStream>> peer;
  std::shared_ptr<message_stream> stream;
  std::vector<std::string> received;
  std::vector<std::string> ended;
  bool closes_on_message = false;

  void setup() override {
    loop->Run([this] {
      kj::TwoWayPipe pipe = loop->provider().newTwoWayPipe();
      peer = std::make_unique<kj::Own<kj::AsyncIoStream>>(kj::mv(pipe.ends[1]));
      stream =
          message_stream::Open(*loop, kj::mv(pipe.ends[0]),
                               {.message =
                                    [this](capnp::MessageReader& message) {
                                      received.emplace_back(message.getRoot<capnp::Text>().cStr());
                                      if (closes_on_message) {
                                        message_stream::Close(std::move(stream));
                                      }
                                    },
                                .ended = [this](const std::string& why) { ended.push_back(why); }});
    });
  }
  void teardown() override {
    loop->Stop([this] {
      stream.reset();
      peer.reset();
    });
  }
  static std::string Serialize(const std::string& text) {
    capnp::MallocMessageBuilder message;
    message.setRoot(capnp::Text::Reader(text.c_str()));
    auto flat = capnp::messageToFlatArray(message);
    return {reinterpret_cast<const char*>(flat.asBytes().begin()), flat.asBytes().size()};
  }
  void PeerWrites(const std::string& bytes) {
    loop->Run([this, &bytes] {
      auto kept = std::make_shared<std::string>(bytes);
      loop->Detach((*peer)->write(kept->data(), kept->size()).then([kept] {}));
    });
  }
  bool WaitUntil(const std::function<bool()>& met) {
    auto end = std::chrono::steady_clock::now() + kTimeout;
    bool holds = false;
    while (!holds && std::chrono::steady_clock::now() < end) {
      loop->Run([&] { holds = met(); });
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return holds;
  }
};

TEST(MessageStream, ReadsSeveralMessagesFromOneRead) {
  PeerWrites(Serialize("a") + Serialize("bc") + Serialize("def"));
  CHECK(WaitUntil([this] { return received.size() == 3; }));
  STRCMP_EQUAL("a", received[0].c_str());
  STRCMP_EQUAL("def", received[2].c_str());
}

TEST(MessageStream, ReassemblesAFragmentedMessage) {
  std::string bytes = Serialize("in pieces");
  for (char byte : bytes) {
    PeerWrites(std::string(1, byte));
  }
  CHECK(WaitUntil([this] { return received.size() == 1; }));
  STRCMP_EQUAL("in pieces", received[0].c_str());
}

TEST(MessageStream, ReadsAMessageLongerThanTheBuffer) {
  std::string text(kLongMessageBytes, 'x');
  PeerWrites(Serialize("before") + Serialize(text) + Serialize("after"));
  CHECK(WaitUntil([this] { return received.size() == 3; }));
  CHECK(received[1] == text);
}

TEST(MessageStream, EndsOnMalformedBytes) {
  PeerWrites(std::string(64, '\xff'));
  CHECK(WaitUntil([this] { return ended.size() == 1; }));
  CHECK(received.empty());
}

TEST(MessageStream, ReportsADisconnectedPeerOnce) {
  loop->Run([this] { peer.reset(); });
  CHECK(WaitUntil([this] { return ended.size() == 1; }));
}

TEST(MessageStream, CallsNoHookAfterClose) {
  closes_on_message = true;
  PeerWrites(Serialize("first") + Serialize("second"));
  CHECK(WaitUntil([this] { return received.size() == 1; }));
  loop->Run([this] { peer.reset(); });
  loop->Run([] {});
  CHECK_EQUAL(1, received.size());
  CHECK(ended.empty());
}

TEST(MessageStream, SendsMessagesOfOneTurnInOneWrite) {
  auto buffer = std::make_shared<std::string>(1000, '\0');
  std::string expected = Serialize("one") + Serialize("two");
  size_t read = 0;
  loop->Run([&] {
    loop->Detach(
        (*peer)->tryRead(buffer->data(), 1, buffer->size()).then([&read, buffer](size_t got) {
          read = got;
        }));
    for (const char* text : {"one", "two"}) {
      capnp::MallocMessageBuilder message;
      message.setRoot(capnp::Text::Reader(text));
      stream->Send(message);
    }
  });
  CHECK(WaitUntil([&read] { return read > 0; }));
  CHECK(buffer->substr(0, read) == expected);
}

}  // namespace wagtail
