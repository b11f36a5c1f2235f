#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "table/memory_table.h"
#include "tests/stand_ins/platform/platform_settings.h"
#include "tests/stand_ins/support/stand_in_program.h"

namespace wagtail {

/// Counts the requests of one kind in the current second.
class rate_window {
 public:
  /// @param limit requests a second, 0 for no limit
  /// @return whether one more request at `now` is within the limit
  bool Take(int64_t limit, instant now);

 private:
  instant started_{};
  int64_t taken_ = 0;
};

/// A simulated platform: the transactional table and the object store, with injected faults.
class stand_in_platform : public stand_in {
 public:
  explicit stand_in_platform(platform_settings settings);

  http_server_options server_options() const override;
  http_response Handle(const http_request& request) override;
  void OnListening(uint16_t port) override;
  void OnStopping() override;

 private:
  enum class access { kRead, kWrite };

  http_response Control(const http_request& request);
  http_response Counters();
  http_response ServeStore(const http_request& request);
  http_response Rows(const http_request& request);
  http_response Transaction(const http_request& request);
  http_response Object(const http_request& request);
  /// Waits for the duration of the access.
  /// @return whether the request is admitted
  bool Admit(access kind, const platform_behaviour& behaviour);
  void Delay(duration span);

  const platform_settings settings_;
  memory_table table_;
  std::atomic<uint64_t> reads_ = 0;
  std::atomic<uint64_t> writes_ = 0;
  std::atomic<uint64_t> conflicts_ = 0;
  std::atomic<uint64_t> rejected_ = 0;
  std::atomic<uint64_t> lost_answers_ = 0;

  std::mutex mutex_;
  std::condition_variable stop_;
  bool stopping_ = false;
  platform_behaviour behaviour_;
  rate_window read_window_;
  rate_window write_window_;
  std::map<std::string, std::string, std::less<>> objects_;
};

}  // namespace wagtail
