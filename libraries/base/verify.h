#pragma once

#include <string_view>

/// @file
/// Invariant assertions that stay on in release builds. A broken invariant ends the process: going
/// on could start a task twice, and a lost process is a failure that the system is built to
/// survive.

namespace wagtail {

/// Logs the broken invariant to standard error and aborts.
/// @param condition the source text of the invariant
/// @param file source file
/// @param line source line
[[noreturn]] void FailVerify(std::string_view condition, std::string_view file, int line);

}  // namespace wagtail

/// Aborts with a message when `condition` is false; evaluated in every build type.
#define VERIFY(condition)                                    \
  do {                                                       \
    if (!(condition)) [[unlikely]] {                         \
      ::wagtail::FailVerify(#condition, __FILE__, __LINE__); \
    }                                                        \
  } while (false)

/// Marks code that no valid state reaches.
#define VERIFY_NOT_REACHED() ::wagtail::FailVerify("not reached", __FILE__, __LINE__)
