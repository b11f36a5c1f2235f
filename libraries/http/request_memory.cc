#include "http/request_memory.h"

#include "base/verify.h"

namespace wagtail {

request_memory::request_memory(request_memory_options options) : options_(options) {
  VERIFY(options_.small_reserve_bytes <= options_.total_bytes);
}

bool request_memory::Reserve(size_t bytes) {
  size_t limit = bytes <= kSmallBodyBytes ? options_.total_bytes : largest_body_bytes();
  size_t held = held_.load(std::memory_order_relaxed);
  do {
    if (bytes > limit || held > limit - bytes) {
      return false;
    }
  } while (!held_.compare_exchange_weak(held, held + bytes, std::memory_order_relaxed));
  return true;
}

void request_memory::Release(size_t bytes) {
  size_t before = held_.fetch_sub(bytes, std::memory_order_relaxed);
  VERIFY(before >= bytes);
}

}  // namespace wagtail
