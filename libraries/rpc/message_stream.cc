#include "rpc/message_stream.h"

#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "rpc/batching_stream.h"

namespace wagtail {
namespace {

/// Initial capacity: enough for the messages that usually arrive together.
constexpr size_t kBufferWords = 1024;
/// Longer messages are treated as malformed.
constexpr size_t kMaxMessageWords = size_t{1} << 20;

}  // namespace

message_stream::message_stream(event_loop& loop, kj::Own<kj::AsyncIoStream> connection, hooks hooks)
    : loop_(loop),
      hooks_(std::move(hooks)),
      connection_(Batching(kj::mv(connection))),
      buffer_(kj::heapArray<capnp::word>(kBufferWords)) {}

std::shared_ptr<message_stream> message_stream::Open(event_loop& loop,
                                                     kj::Own<kj::AsyncIoStream> connection,
                                                     hooks hooks) {
  std::shared_ptr<message_stream> stream(
      new message_stream(loop, kj::mv(connection), std::move(hooks)));
  stream->reading_ = kj::evalLater([raw = stream.get()] { return raw->ReadNext(); })
                         .then(
                             [raw = stream.get()] {
                               if (!raw->closed_) {
                                 raw->hooks_.ended("closed by the peer");
                               }
                             },
                             [raw = stream.get()](kj::Exception&& error) {
                               if (!raw->closed_) {
                                 raw->hooks_.ended(error.getDescription().cStr());
                               }
                             })
                         .eagerlyEvaluate(nullptr);
  return stream;
}

void message_stream::Close(std::shared_ptr<message_stream> stream) {
  if (stream == nullptr) {
    return;
  }
  stream->closed_ = true;
  // Destroyed later, since the caller may be one of the stream's hooks.
  event_loop& loop = stream->loop_;
  loop.After(duration::zero(), [stream = std::move(stream)] {});
}

void message_stream::Send(capnp::MessageBuilder& message) {
  kj::Array<capnp::word> flat = capnp::messageToFlatArray(message);
  // The bytes are copied by write(); a failed write shows up as the end of the input.
  kj::Promise<void> written = connection_->write(flat.asBytes().begin(), flat.asBytes().size());
  static_cast<void>(written);
}

kj::Promise<void> message_stream::ReadNext() {
  kj::byte* free = buffer_.asBytes().begin() + filled_;
  return connection_->tryRead(free, 1, buffer_.asBytes().size() - filled_)
      .then([this](size_t read) -> kj::Promise<void> {
        filled_ += read;
        if (read == 0 || closed_) {
          return kj::READY_NOW;
        }
        if (!DispatchMessages()) {
          return KJ_EXCEPTION(FAILED, "not a message");
        }
        if (closed_) {
          return kj::READY_NOW;
        }
        return ReadNext();
      });
}

bool message_stream::DispatchMessages() {
  size_t consumed = 0;
  while (!closed_) {
    size_t available = filled_ / sizeof(capnp::word) - consumed;
    if (available == 0) {
      break;
    }
    auto rest = buffer_.slice(consumed, consumed + available);
    size_t needed = capnp::expectedSizeInWordsFromPrefix(rest);
    if (needed > kMaxMessageWords) {
      return false;
    }
    if (needed > available) {
      GrowBuffer(consumed + needed);
      break;
    }
    capnp::FlatArrayMessageReader reader(rest.slice(0, needed));
    hooks_.message(reader);
    consumed += needed;
  }
  size_t consumed_bytes = consumed * sizeof(capnp::word);
  std::memmove(buffer_.asBytes().begin(), buffer_.asBytes().begin() + consumed_bytes,
               filled_ - consumed_bytes);
  filled_ -= consumed_bytes;
  return true;
}

void message_stream::GrowBuffer(size_t words) {
  if (words <= buffer_.size()) {
    return;
  }
  auto larger = kj::heapArray<capnp::word>(words);
  std::memcpy(larger.begin(), buffer_.begin(), filled_);
  buffer_ = kj::mv(larger);
}

}  // namespace wagtail
