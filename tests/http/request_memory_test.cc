#include "http/request_memory.h"

#include <atomic>
#include <thread>
#include <vector>

// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(RequestMemory){};

// Unfinished large bodies held all of the memory, and small requests got none.
TEST(RequestMemory, LargeBodiesLeaveTheReserveToSmallOnes) {
  request_memory memory({.total_bytes = 100 << 10, .small_reserve_bytes = 40 << 10});
  CHECK_EQUAL(60U << 10, memory.largest_body_bytes());
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

TEST(RequestMemory, AnImpossibleSizeIsRefusedWithoutOverflow) {
  request_memory memory({.total_bytes = 1000, .small_reserve_bytes = 0});
  CHECK(memory.Reserve(1));
  CHECK_FALSE(memory.Reserve(SIZE_MAX));
  CHECK_EQUAL(1, memory.held_bytes());
}

// The budget must hold whichever threads reserve at once.
TEST(RequestMemory, NeverHoldsMoreThanTheTotalAmongThreads) {
  constexpr size_t kTotal = 50;
  request_memory memory({.total_bytes = kTotal, .small_reserve_bytes = 0});
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
