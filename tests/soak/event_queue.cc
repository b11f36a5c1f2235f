#include "tests/soak/event_queue.h"

#include <algorithm>
#include <utility>

namespace wagtail {

void event_queue::At(instant when, event run) {
  items_.push({.when = std::max(when, now_), .order = order_++, .run = std::move(run)});
}

bool event_queue::RunNext() {
  if (items_.empty()) {
    return false;
  }
  item next = items_.top();
  items_.pop();
  now_ = next.when;
  ++count_;
  next.run();
  return true;
}

}  // namespace wagtail
