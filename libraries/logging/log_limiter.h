#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace wagtail {

struct log_limiter_options {
  double burst = 50;      ///< lines of one fact admitted at once
  double per_second = 5;  ///< lines of one fact per second after that
};

/// Rate limiter of log lines: a token bucket per fact name. Uses neither clocks nor locks.
class log_limiter {
 public:
  /// Lines of one fact that were dropped.
  struct dropped_fact {
    std::string fact;
    uint64_t lines = 0;
  };

  explicit log_limiter(log_limiter_options options) : options_(options) {}

  /// Admits or drops one line.
  /// @param fact name of the fact; names past kMaxFactNames share one bucket
  /// @param now time of the fact
  /// @return how many lines of this fact were dropped since the last admitted one, or nothing when
  ///   this line is dropped too
  std::optional<uint64_t> Admit(std::string_view fact, instant now);

  /// @return facts with dropped lines that were not reported yet; marks them as reported
  std::vector<dropped_fact> TakeDropped();

  /// @return total number of dropped lines
  uint64_t dropped_total() const { return dropped_total_; }

  static constexpr size_t kMaxFactNames = 256;

 private:
  struct bucket {
    double tokens = 0;
    instant filled;
    uint64_t dropped = 0;
  };

  bucket& BucketOf(std::string_view fact, instant now);

  log_limiter_options options_;
  std::map<std::string, bucket, std::less<>> buckets_;
  uint64_t dropped_total_ = 0;
};

}  // namespace wagtail
