#include "snapshot/snapshot_cell.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <latch>
#include <string>
#include <thread>
#include <vector>

// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

/// Every word holds the version, so that a torn or freed snapshot is detected.
struct versioned {
  explicit versioned(uint64_t version) { words.fill(version); }
  ~versioned() { words.fill(UINT64_MAX); }
  versioned(const versioned&) = delete;
  versioned& operator=(const versioned&) = delete;
  std::array<uint64_t, 64> words{};
};

bool IsWhole(const versioned& value) {
  return value.words.front() != UINT64_MAX &&
         std::ranges::adjacent_find(value.words, std::ranges::not_equal_to()) == value.words.end();
}

}  // namespace

TEST_GROUP(SnapshotCell){};

TEST(SnapshotCell, ReadsTheLastPublishedSnapshot) {
  snapshot_cell<std::string> cell(std::make_unique<std::string>("first"));
  cell.Publish(std::make_unique<std::string>("second"));
  STRCMP_EQUAL("second", cell.Read([](const std::string& text) { return text; }).c_str());
}

TEST(SnapshotCell, NestsReadsOfSeveralCells) {
  snapshot_cell<int> outer(std::make_unique<int>(1));
  snapshot_cell<int> inner(std::make_unique<int>(2));
  int sum = outer.Read([&](int a) { return inner.Read([&](int b) { return a + b; }); });
  LONGS_EQUAL(3, sum);
}

TEST(SnapshotCell, KeepsTheOldSnapshotUntilItsReaderEnds) {
  snapshot_cell<versioned> cell(std::make_unique<versioned>(1));
  std::latch reading(1);
  std::atomic<bool> published = false;
  std::jthread publisher([&] {
    reading.wait();
    cell.Publish(std::make_unique<versioned>(2));
    published = true;
  });
  bool whole_throughout = cell.Read([&](const versioned& value) {
    reading.count_down();
    bool whole = true;
    for (int i = 0; i < 1000; ++i) {
      whole = whole && IsWhole(value) && value.words.front() == 1 && !published;
      std::this_thread::yield();
    }
    return whole;
  });
  publisher.join();
  CHECK_TRUE(whole_throughout);
  CHECK_TRUE(published);
}

TEST(SnapshotCell, ManyThreadsReadConsistentSnapshotsInOrder) {
  constexpr int kReaders = 4;
  constexpr uint64_t kVersions = 500;
  snapshot_cell<versioned> cell(std::make_unique<versioned>(0));
  std::atomic<int> faults = 0;
  auto read_until_last = [&] {
    uint64_t observed = 0;
    while (observed < kVersions) {
      uint64_t version = cell.Read([&](const versioned& value) {
        faults += IsWhole(value) ? 0 : 1;
        return value.words.front();
      });
      faults += version < observed ? 1 : 0;
      observed = version;
    }
  };
  {
    std::vector<std::jthread> readers;
    readers.reserve(kReaders);
    for (int i = 0; i < kReaders; ++i) {
      readers.emplace_back(read_until_last);
    }
    for (uint64_t version = 1; version <= kVersions; ++version) {
      cell.Publish(std::make_unique<versioned>(version));
    }
  }
  LONGS_EQUAL(0, faults);
}

TEST(SnapshotCell, DestroysEachSnapshotOnceUnderRacingPublishers) {
  constexpr int kPublishers = 4;
  constexpr int kVersions = 100;
  std::atomic<int> alive = 0;
  struct counted {
    explicit counted(std::atomic<int>& count) : count_(count) { ++count_; }
    ~counted() { --count_; }
    counted(const counted&) = delete;
    counted& operator=(const counted&) = delete;
    std::atomic<int>& count_;
  };
  {
    snapshot_cell<counted> cell(std::make_unique<counted>(alive));
    std::vector<std::jthread> publishers;
    publishers.reserve(kPublishers);
    for (int i = 0; i < kPublishers; ++i) {
      publishers.emplace_back([&] {
        for (int j = 0; j < kVersions; ++j) {
          cell.Publish(std::make_unique<counted>(alive));
        }
      });
    }
    publishers.clear();
    LONGS_EQUAL(1, alive);
  }
  LONGS_EQUAL(0, alive);
}

}  // namespace wagtail
