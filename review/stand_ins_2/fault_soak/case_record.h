#pragma once

#include <filesystem>
#include <fstream>
#include <mutex>
#include <string_view>

#include "base/time.h"

namespace wagtail::review {

/// Exit codes of a case.
enum class case_result { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/// @return whether the case is to inject its disruption: unless TROUBLE=0 is set
bool WithTrouble();

/// The record of a case: one line per event, with the time since the start. Thread-safe.
class case_record {
 public:
  /// @param folder of the case
  explicit case_record(const std::filesystem::path& folder);

  void Add(std::string_view line);
  /// Records the result.
  /// @return the exit code
  int Finish(case_result result, std::string_view why);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  instant started_ = MonotonicNow();
};

}  // namespace wagtail::review
