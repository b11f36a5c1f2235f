#include "base/memory_budget.h"

#include <utility>

#include "base/verify.h"

namespace wagtail {

memory_budget::memory_budget(memory_budget_options options) : options_(options) {
  VERIFY(options_.small_reserve_bytes <= options_.total_bytes);
}

bool memory_budget::Reserve(size_t bytes) {
  size_t limit = bytes <= kSmallReservationBytes ? options_.total_bytes : largest_bytes();
  size_t held = held_.load(std::memory_order_relaxed);
  do {
    if (bytes > limit || held > limit - bytes) {
      return false;
    }
  } while (!held_.compare_exchange_weak(held, held + bytes, std::memory_order_relaxed));
  return true;
}

void memory_budget::Release(size_t bytes) {
  size_t before = held_.fetch_sub(bytes, std::memory_order_relaxed);
  VERIFY(before >= bytes);
}

memory_reservation::memory_reservation(std::shared_ptr<memory_budget> budget, size_t bytes)
    : budget_(std::move(budget)), bytes_(bytes) {}

std::shared_ptr<const memory_reservation> memory_reservation::Make(
    std::shared_ptr<memory_budget> budget, size_t bytes) {
  if (!budget->Reserve(bytes)) {
    return nullptr;
  }
  return std::shared_ptr<const memory_reservation>(
      new memory_reservation(std::move(budget), bytes));
}

}  // namespace wagtail
