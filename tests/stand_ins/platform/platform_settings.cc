#include "tests/stand_ins/platform/platform_settings.h"

#include "base/try.h"

namespace wagtail {
namespace {

constexpr int64_t kHighestPort = 65535;
constexpr int64_t kLongestMs = 3'600'000;
constexpr int64_t kHighestRate = 1'000'000;
constexpr int64_t kMostConnections = 10'000;

}  // namespace

void platform_behaviour::ReadFrom(control_reader& reader, instant now) {
  reader.Read("outage", outage);
  reader.Read("lose_answers", lose_answers);
  reader.Read("slow_ms", slow_ms, 0, kLongestMs);
  reader.Read("read_ms", read_ms, 0, kLongestMs);
  reader.Read("write_ms", write_ms, 0, kLongestMs);
  reader.Read("reads_per_second", reads_per_second, 0, kHighestRate);
  reader.Read("writes_per_second", writes_per_second, 0, kHighestRate);
  int64_t reject_for_ms = -1;
  reader.Read("reject_for_ms", reject_for_ms, 0, kLongestMs);
  if (reject_for_ms >= 0) {
    reject_until = now + std::chrono::milliseconds(reject_for_ms);
  }
}

absl::StatusOr<platform_settings> platform_settings::From(control_reader reader) {
  platform_settings settings;
  reader.Read("address", settings.address);
  reader.Read("port", settings.port, 0, kHighestPort);
  reader.Read("max_connections", settings.max_connections, 1, kMostConnections);
  settings.behaviour.ReadFrom(reader, MonotonicNow());
  TRY(reader.Finish());
  return settings;
}

}  // namespace wagtail
