#include "entry/table_watcher.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>
#include <utility>

namespace wagtail {

namespace {

constexpr std::array<std::string_view, 3> kWatchedPrefixes = {"configuration", "target/", "entry/"};

}  // namespace

table_watcher::table_watcher(table& table, duration interval, round_hook on_round)
    : table_(table),
      interval_(interval),
      on_round_(std::move(on_round)),
      thread_([this] { ThreadMain(); }) {}

table_watcher::~table_watcher() {
  {
    std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void table_watcher::ReadNow() {
  {
    std::scoped_lock lock(mutex_);
    read_requested_ = true;
  }
  changed_.notify_all();
}

void table_watcher::ThreadMain() {
  while (true) {
    table_round round = ReadRound();
    on_round_(round);
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, round.started + interval_,
                        [this] { return stopping_ || read_requested_; });
    read_requested_ = false;
    if (stopping_) {
      return;
    }
  }
}

table_round table_watcher::ReadRound() {
  table_round round{.started = MonotonicNow(), .revision = UINT64_MAX, .rows = {}};
  for (std::string_view prefix : kWatchedPrefixes) {
    absl::StatusOr<table_changes> changes = table_.Read(prefix, revision_);
    if (!changes.ok()) {
      return {.started = round.started, .succeeded = false, .revision = revision_, .rows = {}};
    }
    // All reads together cover only the changes up to the lowest revision.
    round.revision = std::min(round.revision, changes->revision);
    std::ranges::move(changes->rows, std::back_inserter(round.rows));
  }
  round.succeeded = true;
  revision_ = round.revision;
  return round;
}

}  // namespace wagtail
