#include "entry/background_worker.h"

#include <utility>

namespace wagtail {

background_worker::background_worker() : thread_([this] { ThreadMain(); }) {}

background_worker::~background_worker() {
  {
    std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void background_worker::Post(work item) {
  {
    std::scoped_lock lock(mutex_);
    items_.push_back(std::move(item));
  }
  changed_.notify_all();
}

void background_worker::ThreadMain() {
  while (true) {
    work item;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !items_.empty(); });
      if (stopping_) {
        return;
      }
      item = std::move(items_.front());
      items_.pop_front();
    }
    item();
  }
}

}  // namespace wagtail
