#include "tests/stand_ins/platform/platform_settings.h"

#include "base/try.h"

namespace wagtail {
namespace {

constexpr int64_t kMaxPort = 65535;
constexpr int64_t kMaxDurationMs = 3'600'000;
constexpr int64_t kMaxRatePerSecond = 1'000'000;
constexpr int64_t kMaxConnections = 10'000;

}  // namespace

void platform_behaviour::ReadFrom(control_reader& reader, instant now) {
  reader.Read("outage", outage);
  reader.Read("lose_answers", lose_answers);
  reader.Read("slow_ms", slow_ms, 0, kMaxDurationMs);
  reader.Read("read_ms", read_ms, 0, kMaxDurationMs);
  reader.Read("write_ms", write_ms, 0, kMaxDurationMs);
  reader.Read("reads_per_second", reads_per_second, 0, kMaxRatePerSecond);
  reader.Read("writes_per_second", writes_per_second, 0, kMaxRatePerSecond);
  int64_t reject_for_ms = -1;
  reader.Read("reject_for_ms", reject_for_ms, 0, kMaxDurationMs);
  if (reject_for_ms >= 0) {
    reject_until = now + std::chrono::milliseconds(reject_for_ms);
  }
}

absl::StatusOr<platform_settings> platform_settings::From(control_reader reader) {
  platform_settings settings;
  reader.Read("address", settings.address);
  reader.Read("port", settings.port, 0, kMaxPort);
  reader.Read("max_connections", settings.max_connections, 1, kMaxConnections);
  settings.behaviour.ReadFrom(reader, MonotonicNow());
  TRY(reader.Finish());
  return settings;
}

}  // namespace wagtail
