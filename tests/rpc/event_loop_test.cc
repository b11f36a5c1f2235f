#include "rpc/event_loop.h"

#include <future>
#include <stdexcept>

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(EventLoop){};

// Guards against an agent that hung: one exception ended the loop's reading of posted work, so that
// heartbeats were acknowledged and nothing was done.
TEST(EventLoop, AnExceptionOfOneItemStopsNoOther) {
  constexpr auto kTimeout = std::chrono::seconds(5);
  event_loop loop;
  std::promise<void> behind;
  std::promise<void> later;
  loop.Run([&] {
    // Posted in one turn, so that both items are read together.
    loop.Post([] { throw std::runtime_error("odd"); });
    loop.Post([&behind] { behind.set_value(); });
  });
  CHECK(behind.get_future().wait_for(kTimeout) == std::future_status::ready);
  loop.Post([&later] { later.set_value(); });
  CHECK(later.get_future().wait_for(kTimeout) == std::future_status::ready);
  loop.Stop();
}

}  // namespace wagtail
