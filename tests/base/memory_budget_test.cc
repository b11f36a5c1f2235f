#include "base/memory_budget.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(MemoryBudget){};

// Unfinished large bodies held all of the memory, and small requests got none.
TEST(MemoryBudget, LargeBodiesLeaveTheReserveToSmallOnes) {
  memory_budget memory({.total_bytes = 100 << 10, .small_reserve_bytes = 40 << 10});
  CHECK_EQUAL(60U << 10, memory.largest_bytes());
  CHECK(memory.Reserve(50 << 10));
  CHECK_FALSE(memory.Reserve(20 << 10));
  CHECK(memory.Reserve(16 << 10));
  CHECK(memory.Reserve(16 << 10));
  CHECK(memory.Reserve(16 << 10));
  CHECK_FALSE(memory.Reserve(16 << 10));
  CHECK_EQUAL(98U << 10, memory.held_bytes());
  memory.Release(50 << 10);
  CHECK_EQUAL(48U << 10, memory.held_bytes());
  CHECK_FALSE(memory.Reserve(17 << 10));
}

TEST(MemoryBudget, AnImpossibleSizeIsRefusedWithoutOverflow) {
  memory_budget memory({.total_bytes = 1000, .small_reserve_bytes = 0});
  CHECK(memory.Reserve(1));
  CHECK_FALSE(memory.Reserve(SIZE_MAX));
  CHECK_EQUAL(1, memory.held_bytes());
}

TEST(MemoryBudget, AReservationIsReleasedWithItsLastCopy) {
  auto budget = std::make_shared<memory_budget>(
      memory_budget_options{.total_bytes = 1000, .small_reserve_bytes = 0});
  auto first = memory_reservation::Make(budget, 600);
  auto copy = first;
  CHECK(memory_reservation::Make(budget, 600) == nullptr);
  first.reset();
  CHECK_EQUAL(600, budget->held_bytes());
  copy.reset();
  CHECK_EQUAL(0, budget->held_bytes());
}

// The budget must hold whichever threads reserve at once.
TEST(MemoryBudget, NeverHoldsMoreThanTheTotalAmongThreads) {
  constexpr size_t kTotal = 50;
  memory_budget memory({.total_bytes = kTotal, .small_reserve_bytes = 0});
  std::atomic<bool> exceeded = false;
  {
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
      threads.emplace_back([&] {
        for (int round = 0; round < 20000; ++round) {
          if (memory.Reserve(20)) {
            exceeded = exceeded || memory.held_bytes() > kTotal;
            memory.Release(20);
          }
        }
      });
    }
  }
  CHECK_FALSE(exceeded);
  CHECK_EQUAL(0, memory.held_bytes());
}

}  // namespace wagtail
