#include "logging/log_limiter.h"

#include <algorithm>
#include <utility>

namespace wagtail {

namespace {

constexpr std::string_view kSharedBucket = "_other";

}  // namespace

log_limiter::bucket& log_limiter::BucketOf(std::string_view fact, instant now) {
  auto found = buckets_.find(fact);
  if (found == buckets_.end()) {
    std::string name(buckets_.size() < kMaxFactNames ? fact : kSharedBucket);
    bucket full{.tokens = options_.burst, .filled = now, .dropped = 0};
    found = buckets_.try_emplace(std::move(name), full).first;
  }
  return found->second;
}

std::optional<uint64_t> log_limiter::Admit(std::string_view fact, instant now) {
  bucket& bucket = BucketOf(fact, now);
  if (now > bucket.filled) {
    double earned = ToSeconds(now - bucket.filled) * options_.per_second;
    bucket.tokens = std::min(options_.burst, bucket.tokens + earned);
    bucket.filled = now;
  }
  if (bucket.tokens < 1) {
    ++bucket.dropped;
    ++dropped_total_;
    return std::nullopt;
  }
  bucket.tokens -= 1;
  return std::exchange(bucket.dropped, 0);
}

std::vector<log_limiter::dropped_fact> log_limiter::TakeDropped() {
  std::vector<dropped_fact> result;
  for (auto& [fact, bucket] : buckets_) {
    if (bucket.dropped > 0) {
      result.push_back({.fact = fact, .lines = std::exchange(bucket.dropped, 0)});
    }
  }
  return result;
}

}  // namespace wagtail
