#include "rpc/batching_stream.h"

#include <algorithm>
#include <cstring>
#include <vector>

namespace wagtail {

namespace {

constexpr size_t kReadBytes = 4096;
// A larger backlog is written at once, to bound the memory that one turn buffers.
constexpr size_t kMaxPendingBytes = size_t{256} * 1024;
// Buffer capacity that an idle connection retains.
constexpr size_t kIdleCapacity = 4096;

class batching_stream final : public kj::AsyncIoStream {
 public:
  explicit batching_stream(kj::Own<kj::AsyncIoStream> inner) : inner_(kj::mv(inner)) {}

  // NOLINTBEGIN(readability-identifier-naming): names of the base class
  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override {
    return ReadMore(static_cast<kj::byte*>(buffer), 0, min_bytes, max_bytes);
  }

  kj::Promise<void> write(const void* buffer, size_t size) override {
    Append({static_cast<const kj::byte*>(buffer), size});
    return AfterAppend();
  }

  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    for (kj::ArrayPtr<const kj::byte> piece : pieces) {
      Append(piece);
    }
    return AfterAppend();
  }

  kj::Promise<void> whenWriteDisconnected() override { return inner_->whenWriteDisconnected(); }

  void shutdownWrite() override {
    shutdown_requested_ = true;
    if (pending_.empty() && !is_flushing_) {
      inner_->shutdownWrite();
    }
  }

  void abortRead() override { inner_->abortRead(); }
  void getsockopt(int level, int option, void* value, kj::uint* length) override {
    inner_->getsockopt(level, option, value, length);
  }
  void setsockopt(int level, int option, const void* value, kj::uint length) override {
    inner_->setsockopt(level, option, value, length);
  }
  void getsockname(sockaddr* address, kj::uint* length) override {
    inner_->getsockname(address, length);
  }
  void getpeername(sockaddr* address, kj::uint* length) override {
    inner_->getpeername(address, length);
  }
  kj::Maybe<int> getFd() const override { return inner_->getFd(); }
  // NOLINTEND(readability-identifier-naming)

 private:
  /// @param done bytes of the reader's buffer that are filled already
  kj::Promise<size_t> ReadMore(kj::byte* buffer, size_t done, size_t min_bytes, size_t max_bytes) {
    size_t copied = std::min(max_bytes - done, filled_ - consumed_);
    std::memcpy(buffer + done, read_buffer_ + consumed_, copied);
    consumed_ += copied;
    done += copied;
    if (done >= min_bytes) {
      return done;
    }
    if (max_bytes - done >= kReadBytes) {
      return inner_->tryRead(buffer + done, min_bytes - done, max_bytes - done)
          .then([done](size_t more) { return done + more; });
    }
    return inner_->tryRead(read_buffer_, min_bytes - done, kReadBytes)
        .then([this, buffer, done, min_bytes, max_bytes](size_t more) -> kj::Promise<size_t> {
          consumed_ = 0;
          filled_ = more;
          if (more < min_bytes - done) {
            return ReadMore(buffer, done, 0, max_bytes);  // end of the stream
          }
          return ReadMore(buffer, done, min_bytes, max_bytes);
        });
  }

  void Append(kj::ArrayPtr<const kj::byte> bytes) {
    pending_.insert(pending_.end(), bytes.begin(), bytes.end());
  }

  kj::Promise<void> AfterAppend() {
    if (pending_.size() < kMaxPendingBytes) {
      if (!is_flushing_) {
        is_flushing_ = true;
        flush_ = kj::evalLast([this] { return Flush(); }).eagerlyEvaluate(nullptr);
      }
      return kj::READY_NOW;
    }
    // Too much for one turn: the writer waits until the backlog has been written.
    kj::Promise<void> before = is_flushing_ ? kj::mv(flush_) : kj::Promise<void>(kj::READY_NOW);
    is_flushing_ = true;
    auto fork = before.then([this] { return Flush(); }).fork();
    flush_ = fork.addBranch().eagerlyEvaluate(nullptr);
    return fork.addBranch();
  }

  kj::Promise<void> Flush() {
    std::swap(pending_, writing_);
    if (writing_.empty()) {
      is_flushing_ = false;
      if (shutdown_requested_) {
        inner_->shutdownWrite();
      }
      return kj::READY_NOW;
    }
    return inner_->write(writing_.data(), writing_.size()).then([this] {
      writing_.clear();
      if (writing_.capacity() > kIdleCapacity) {
        writing_ = {};
      }
      return Flush();
    });
  }

  kj::Own<kj::AsyncIoStream> inner_;
  kj::byte read_buffer_[kReadBytes];  // NOLINT(modernize-avoid-c-arrays): raw memory for read
  size_t consumed_ = 0;               // bytes of `filled_` already read by callers
  size_t filled_ = 0;                 // bytes of `read_buffer_` that hold data
  std::vector<kj::byte> pending_;
  std::vector<kj::byte> writing_;
  bool is_flushing_ = false;
  bool shutdown_requested_ = false;
  kj::Promise<void> flush_ = kj::READY_NOW;
};

class batching_receiver final : public kj::ConnectionReceiver {
 public:
  explicit batching_receiver(kj::Own<kj::ConnectionReceiver> inner) : inner_(kj::mv(inner)) {}

  // NOLINTBEGIN(readability-identifier-naming): names of the base class
  kj::Promise<kj::Own<kj::AsyncIoStream>> accept() override {
    return inner_->accept().then(
        [](kj::Own<kj::AsyncIoStream> stream) { return Batching(kj::mv(stream)); });
  }
  kj::uint getPort() override { return inner_->getPort(); }
  // NOLINTEND(readability-identifier-naming)

 private:
  kj::Own<kj::ConnectionReceiver> inner_;
};

}  // namespace

kj::Own<kj::AsyncIoStream> Batching(kj::Own<kj::AsyncIoStream> inner) {
  return kj::heap<batching_stream>(kj::mv(inner));
}

kj::Own<kj::ConnectionReceiver> Batching(kj::Own<kj::ConnectionReceiver> inner) {
  return kj::heap<batching_receiver>(kj::mv(inner));
}

}  // namespace wagtail
