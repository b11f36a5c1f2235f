#include "rpc/event_loop.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <future>
#include <string_view>
#include <utility>

#include "base/verify.h"
#include "logging/logging.h"

namespace wagtail {

namespace {

void LogFailure(std::string_view fact, const kj::Exception& error) {
  LogFact(log_level::kError, fact, {{"error", std::string_view(error.getDescription().cStr())}});
}

}  // namespace

class event_loop::task_errors : public kj::TaskSet::ErrorHandler {
 public:
  // NOLINTNEXTLINE: name of the base class
  void taskFailed(kj::Exception&& exception) override { LogFailure("task_failed", exception); }
};

event_loop::event_loop() : wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  VERIFY(wake_fd_ >= 0);
  std::promise<void> ready;
  thread_ = std::thread([this] { ThreadMain(); });
  Post([&ready] { ready.set_value(); });
  ready.get_future().wait();
}

event_loop::~event_loop() { Stop(); }

void event_loop::Post(work item) {
  bool was_empty = false;
  {
    std::scoped_lock lock(mutex_);
    if (stopped_) {
      return;
    }
    was_empty = posted_.empty();
    posted_.push_back(std::move(item));
  }
  if (was_empty) {
    uint64_t one = 1;
    VERIFY(write(wake_fd_, &one, sizeof one) == sizeof one);
  }
}

void event_loop::Run(const work& item) {
  auto done = std::make_shared<std::promise<void>>();
  Post([&item, done] {
    item();
    done->set_value();
  });
  done->get_future().wait();
}

void event_loop::After(duration delay, work item) {
  Detach(timer()
             .afterDelay(std::max(delay, duration::zero()).count() * kj::MICROSECONDS)
             .then([item = std::move(item)] { item(); }));
}

void event_loop::AtEndOfTurn(work item) {
  Detach(kj::evalLast([item = std::move(item)] { item(); }));
}

void event_loop::Detach(kj::Promise<void> promise, std::function<void(kj::Exception&&)> on_error) {
  if (on_error) {
    promise = promise.catch_(
        [on_error = std::move(on_error)](kj::Exception&& error) { on_error(std::move(error)); });
  }
  tasks_->add(std::move(promise));
}

void event_loop::Stop(work last) {
  if (!thread_.joinable()) {
    return;
  }
  Post([this, last = std::move(last)]() mutable {
    last_ = std::move(last);
    end_->fulfill();
  });
  thread_.join();
  {
    std::scoped_lock lock(mutex_);
    stopped_ = true;
    posted_.clear();
  }
  close(wake_fd_);
}

void event_loop::ThreadMain() {
  auto io = kj::setupAsyncIo();
  provider_ = io.provider.get();
  task_errors errors;
  kj::TaskSet tasks(errors);
  tasks_ = &tasks;
  auto end = kj::newPromiseAndFulfiller<void>();
  end_ = std::move(end.fulfiller);
  auto wake = io.lowLevelProvider->wrapInputFd(wake_fd_);
  tasks.add(ReadWakeups(*wake));
  end.promise.wait(io.waitScope);
  if (last_) {
    last_();
    last_ = {};
  }
}

kj::Promise<void> event_loop::ReadWakeups(kj::AsyncInputStream& wake) {
  auto buffer = kj::heapArray<kj::byte>(sizeof(uint64_t));
  auto read = wake.read(buffer.begin(), buffer.size());
  return read.then([this, &wake, buffer = kj::mv(buffer)] {
    RunPosted();
    return ReadWakeups(wake);
  });
}

void event_loop::RunPosted() {
  std::vector<work> items;
  {
    std::scoped_lock lock(mutex_);
    items.swap(posted_);
  }
  for (work& item : items) {
    // A failed item must end neither the items behind it nor the reading of later ones.
    kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&item] { item(); });
    KJ_IF_MAYBE (error, failure) {
      LogFailure("work_failed", *error);
    }
  }
}

}  // namespace wagtail
