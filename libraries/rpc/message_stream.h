#pragma once

#include <capnp/message.h>
#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <string>

#include "rpc/event_loop.h"

/// @file
/// One-way Cap'n Proto messages over a connection, for small messages for which an RPC call and
/// its return would cost more than the payload. Used on the event loop's thread.

namespace wagtail {

/// One connection. Messages sent in one turn of the loop are written together.
class message_stream {
 public:
  struct hooks {
    std::function<void(capnp::MessageReader&)> message;
    /// Called when the connection has ended; no message follows. Not called after Close().
    std::function<void(const std::string& why)> ended;
  };

  static std::shared_ptr<message_stream> Open(event_loop& loop,
                                              kj::Own<kj::AsyncIoStream> connection, hooks hooks);

  void Send(capnp::MessageBuilder& message);
  /// Ends the connection; may be called from a hook of this stream. No hook is called afterwards.
  /// @param stream released by the caller
  static void Close(std::shared_ptr<message_stream> stream);

 private:
  message_stream(event_loop& loop, kj::Own<kj::AsyncIoStream> connection, hooks hooks);
  kj::Promise<void> ReadNext();
  /// Passes every complete message in the buffer to the hook.
  /// @return false if the buffered bytes are malformed
  bool DispatchMessages();
  void GrowBuffer(size_t words);

  event_loop& loop_;
  hooks hooks_;
  bool closed_ = false;
  kj::Own<kj::AsyncIoStream> connection_;
  kj::Array<capnp::word> buffer_;
  size_t filled_ = 0;  ///< bytes of the buffer that were read and not yet dispatched
  kj::Promise<void> reading_ = nullptr;
};

}  // namespace wagtail
