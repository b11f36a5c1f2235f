#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <stop_token>
#include <thread>

#include "tests/stand_ins/target/target_settings.h"

namespace wagtail {

/// Announces a target to its daemon until accepted, and again at every interval, so that a
/// restarted daemon receives the announcement, too.
class announcer {
 public:
  /// @param settings announced properties of the target
  /// @param port on which the target listens
  announcer(const target_settings& settings, uint16_t port);
  ~announcer();
  announcer(const announcer&) = delete;
  announcer& operator=(const announcer&) = delete;

  /// @return announcements that the daemon accepted
  uint64_t accepted() const { return accepted_; }

 private:
  void Run(const std::stop_token& stop);
  bool Announce() const;

  const target_settings settings_;
  const uint16_t port_;
  std::atomic<uint64_t> accepted_ = 0;
  std::mutex mutex_;
  std::condition_variable_any wake_;
  std::jthread thread_;
};

}  // namespace wagtail
