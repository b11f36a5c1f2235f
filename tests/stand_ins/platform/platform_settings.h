#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "base/time.h"
#include "tests/stand_ins/support/control_reader.h"

namespace wagtail {

/// Behaviour of the platform that can be changed at run time.
struct platform_behaviour {
  bool outage = false;            ///< answer 503 to everything
  bool lose_answers = false;      ///< let writes take effect, then answer 504
  int64_t slow_ms = 0;            ///< added to every read and write
  int64_t read_ms = 0;            ///< normal duration of a read
  int64_t write_ms = 0;           ///< normal duration of a synced write
  int64_t reads_per_second = 0;   ///< answer 503 beyond; 0: no limit
  int64_t writes_per_second = 0;  ///< answer 503 beyond; 0: no limit
  instant reject_until{};         ///< answer 503 until then

  /// Overwrites the members that are present.
  /// @param now start of the interval reject_for_ms
  void ReadFrom(control_reader& reader, instant now);
};

struct platform_settings {
  std::string address = "127.0.0.1";
  int64_t port = 0;
  int64_t max_connections = 512;
  platform_behaviour behaviour;

  static absl::StatusOr<platform_settings> From(control_reader reader);
};

}  // namespace wagtail
