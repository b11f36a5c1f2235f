#pragma once

#include <string_view>

/// @file
/// Invariant assertions that stay enabled in release builds. A violated invariant aborts the
/// process: continuing could start a task twice, while the system tolerates the loss of a process.

namespace wagtail {

/// Writes the violated invariant to standard error and aborts.
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

/// Marks code that is unreachable in any valid state.
#define VERIFY_NOT_REACHED() ::wagtail::FailVerify("not reached", __FILE__, __LINE__)
