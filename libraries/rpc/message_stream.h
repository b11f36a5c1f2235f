#pragma once

#include <capnp/message.h>
#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <string>

#include "rpc/event_loop.h"

/// @file
/// One-way Cap'n Proto messages over a connection: for traffic in which a call and its return for
/// every few bytes would cost more than what they carry. Used on the event loop's thread.

namespace wagtail {

/// One connection. Messages that are sent in one turn of the loop leave together.
class message_stream {
 public:
  struct hooks {
    std::function<void(capnp::MessageReader&)> message;
    /// The connection has ended, and nothing more comes. Not called once Close was.
    std::function<void(const std::string& why)> ended;
  };

  static std::shared_ptr<message_stream> Open(event_loop& loop,
                                              kj::Own<kj::AsyncIoStream> connection, hooks hooks);

  void Send(capnp::MessageBuilder& message);
  /// Ends the connection; may be called from a hook of this stream. No hook is called any more.
  /// @param stream is given up
  static void Close(std::shared_ptr<message_stream> stream);

 private:
  message_stream(event_loop& loop, kj::Own<kj::AsyncIoStream> connection, hooks hooks);
  kj::Promise<void> ReadOn();
  /// Hands on the messages that are there as a whole.
  /// @return false if what is there can't be a message
  bool TakeMessages();
  void MakeRoom(size_t words);

  event_loop& loop_;
  hooks hooks_;
  bool closed_ = false;
  kj::Own<kj::AsyncIoStream> connection_;
  kj::Array<capnp::word> buffer_;
  size_t filled_ = 0;  ///< bytes of the buffer that were read and not handed on
  kj::Promise<void> reading_ = nullptr;
};

}  // namespace wagtail
