#include "tests/stand_ins/target/target_settings.h"

#include "base/try.h"

namespace wagtail {
namespace {

constexpr int64_t kMaxPort = 65535;
constexpr int64_t kMaxDurationMs = 3'600'000;
constexpr double kMaxSlowdown = 1000;
constexpr int64_t kMaxSlots = 1000;
constexpr int64_t kMaxCores = 10'000;
constexpr int64_t kMaxMemoryMb = 100'000'000;
constexpr int64_t kMaxSeed = INT64_MAX;

}  // namespace

void target_behaviour::ReadFrom(control_reader& reader) {
  reader.Read("base_ms", base_ms, 0, kMaxDurationMs);
  reader.Read("slowdown", slowdown, 0, kMaxSlowdown);
  reader.Read("jitter", jitter, 0, 1);
  reader.Read("fail_all", fail_all);
  reader.Read("fail_fraction", fail_fraction, 0, 1);
  reader.Read("stall", stall);
}

absl::StatusOr<target_settings> target_settings::From(control_reader reader) {
  target_settings settings;
  reader.Read("target", settings.target);
  reader.Read("service", settings.service);
  reader.Read("address", settings.address);
  reader.Read("port", settings.port, 0, kMaxPort);
  reader.Read("daemon_url", settings.daemon_url);
  reader.Read("slots", settings.slots, 1, kMaxSlots);
  reader.Read("cores", settings.cores, 0, kMaxCores);
  reader.Read("memory_mb", settings.memory_mb, 0, kMaxMemoryMb);
  reader.Read("accelerator", settings.accelerator);
  reader.Read("jitter_seed", settings.jitter_seed, 0, kMaxSeed);
  reader.Read("announce_every_ms", settings.announce_every_ms, 0, kMaxDurationMs);
  settings.behaviour.ReadFrom(reader);
  TRY(reader.Finish());
  if (settings.target.empty() || settings.service.empty()) {
    return MakeError(stand_in_error::kBadSettings, "target and service must be named");
  }
  return settings;
}

}  // namespace wagtail
