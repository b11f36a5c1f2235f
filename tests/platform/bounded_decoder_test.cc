#include "platform/bounded_decoder.h"

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "base/layer_error.h"
#include "platform/platform_error.h"

// Included last: its macros must not affect other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::platform {
namespace {

std::string Repeated(std::string_view part, size_t bytes) {
  std::string text;
  text.reserve(bytes + part.size());
  while (text.size() < bytes) {
    text += part;
  }
  return text;
}

}  // namespace

TEST_GROUP(BoundedDecoder){};

// A body of the legal size grew to sixty times its length while it was decoded.
TEST(BoundedDecoder, NestedContainersAreEstimatedAboveWhatTheyTake) {
  CHECK(EstimateTreeBytes(Repeated("[", 100'000)) > size_t{88} * 100'000);
  CHECK(EstimateTreeBytes(Repeated("{\"\":", 100'000)) > size_t{40} * 100'000);
  CHECK(EstimateTreeBytes(Repeated("[],", 100'000)) > size_t{16} * 100'000);
}

// A job of one long string must not be refused for its length.
TEST(BoundedDecoder, ALongStringIsEstimatedAtFewTimesItsLength) {
  std::string text = "{\"job_spec\":\"" + Repeated("[{,:\\\"", 100'000) + "\"}";
  CHECK(EstimateTreeBytes(text) < 3 * text.size());
}

TEST(BoundedDecoder, RefusesALargeTreeWithoutDecodingIt) {
  bounded_decoder decoder(1 << 20);
  bool decoded = false;
  absl::Status status = decoder.Run(Repeated("[", 20'000), [&decoded] { decoded = true; });
  CHECK(ErrorOf<platform_error>(status) == platform_error::kBadMessage);
  CHECK_FALSE(decoded);
  CHECK(decoder.Run(Repeated("x", 20'000), [&decoded] { decoded = true; }).ok());
  CHECK(decoded);
}

namespace {

/// @return how many threads decoded a text at the same time at most
int MostAtOnce(const std::string& text) {
  bounded_decoder decoder(1 << 20);
  std::atomic<int> inside = 0;
  std::atomic<int> most = 0;
  {
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
      threads.emplace_back([&] {
        for (int round = 0; round < 50; ++round) {
          absl::Status status = decoder.Run(text, [&] {
            most = std::max(most.load(), ++inside);
            std::this_thread::yield();
            --inside;
          });
          static_cast<void>(status);
        }
      });
    }
  }
  return most;
}

}  // namespace

// Trees of many callers at once took the memory of the process.
TEST(BoundedDecoder, LargeTextsAreDecodedOneAtATime) {
  CHECK_EQUAL(1, MostAtOnce(Repeated("x", 20'000)));
}

// Small texts were decoded all at once, whatever the size of their trees.
TEST(BoundedDecoder, SmallTextsOfLargeTreesAreDecodedOneAtATime) {
  CHECK_EQUAL(1, MostAtOnce("[" + Repeated("[],", 5000) + "0]"));
}

// Small requests must not wait behind a large one.
TEST(BoundedDecoder, SmallTextsDoNotWait) {
  bounded_decoder decoder(1 << 20);
  bool inner = false;
  absl::Status status = decoder.Run(Repeated("x", 20'000), [&] {
    std::jthread([&] {
      absl::Status small = decoder.Run("{}", [&inner] { inner = true; });
      static_cast<void>(small);
    }).join();
  });
  CHECK(status.ok());
  CHECK(inner);
}

}  // namespace wagtail::platform
