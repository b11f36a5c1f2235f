#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>

#include "tests/stand_ins/support/stand_in_program.h"
#include "tests/stand_ins/target/announcer.h"
#include "tests/stand_ins/target/target_settings.h"

namespace wagtail {

/// Identifies one task of a job by its request headers.
struct run_key {
  std::string job;
  std::string task;
  bool operator<(const run_key& other) const {
    return std::tie(job, task) < std::tie(other.job, other.task);
  }
};

/// A simulated target: runs tasks by waiting, and counts the starts of each.
class stand_in_target : public stand_in {
 public:
  explicit stand_in_target(target_settings settings);

  http_server_options server_options() const override;
  http_response Handle(const http_request& request) override;
  void OnListening(uint16_t port) override;
  void OnStopping() override;

 private:
  enum class detail { kTotals, kEveryTask };

  http_response Control(const http_request& request);
  http_response Counters(detail detail);
  http_response Run(const http_request& request);
  /// Waits for a slot, runs, and frees the slot. Called with the lock held.
  http_response RunInSlot(std::unique_lock<std::mutex>& lock, const run_key& key,
                          const http_request& request);
  duration RunTime(const run_key& key, const std::string& body) const;
  /// @return a deterministic fraction in [0, 1) for a task and a purpose
  double Chance(const run_key& key, std::string_view purpose) const;

  const target_settings settings_;
  std::unique_ptr<announcer> announcer_;

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  target_behaviour behaviour_;
  std::map<run_key, uint64_t> starts_by_task_;
  uint64_t starts_ = 0;
  uint64_t doubled_ = 0;
  uint64_t completed_ = 0;
  uint64_t failed_ = 0;
  int64_t waiting_ = 0;
  int64_t running_ = 0;
  int64_t running_max_ = 0;
  int64_t waiting_max_ = 0;
};

}  // namespace wagtail
