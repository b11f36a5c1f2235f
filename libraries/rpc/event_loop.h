#pragma once

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "base/time.h"

/// @file
/// One thread that runs a Cap'n Proto event loop; other threads post work to it.

namespace wagtail {

/// Owns the thread. RPC objects may be used on that thread only.
class event_loop {
 public:
  using work = std::function<void()>;

  event_loop();
  /// Stops the loop and joins its thread; work posted later is dropped.
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Runs `item` on the loop's thread soon; callable from any thread. Items posted close together
  /// run in one turn of the loop. An exception of one is logged; the others run.
  void Post(work item);
  /// Runs `item` on the loop's thread and waits for it; not to be called from that thread.
  void Run(const work& item);
  /// Runs `item` after `delay`; on the loop's thread only.
  void After(duration delay, work item);
  /// Ends the loop and joins its thread; idempotent.
  /// @param last runs on the loop's thread after its last turn: destroy RPC objects there, since no
  ///   timer or message is handled after it
  void Stop(work last = {});

  /// @return network, timer and other facilities; on the loop's thread only
  kj::AsyncIoProvider& provider() { return *provider_; }
  kj::Timer& timer() { return provider_->getTimer(); }
  /// Runs `item` after everything that is ready in this turn; on the loop's thread only.
  void AtEndOfTurn(work item);
  /// Keeps a background promise alive until it ends; failures are passed to `on_error` if given,
  /// and logged otherwise.
  void Detach(kj::Promise<void> promise, std::function<void(kj::Exception&&)> on_error = {});

 private:
  class task_errors;

  void ThreadMain();
  kj::Promise<void> ReadWakeups(kj::AsyncInputStream& wake);
  void RunPosted();

  int wake_fd_ = -1;
  std::mutex mutex_;
  std::vector<work> posted_;
  bool stopped_ = false;
  work last_;
  kj::AsyncIoProvider* provider_ = nullptr;
  kj::TaskSet* tasks_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> end_;
  std::thread thread_;
};

}  // namespace wagtail
