#pragma once

#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

/// @file
/// TRY for absl::Status and absl::StatusOr: unwraps a value or returns the error to the caller.

namespace wagtail::internal {

inline absl::Status StatusOf(absl::Status status) { return status; }
template <typename T>
absl::Status StatusOf(const absl::StatusOr<T>& result) {
  return result.status();
}

inline void ValueOf(absl::Status&&) {}
template <typename T>
T ValueOf(absl::StatusOr<T>&& result) {
  return *std::move(result);
}

}  // namespace wagtail::internal

/// Evaluates to the value of an OK `expression`; returns its status from the enclosing function
/// otherwise. Uses the GNU statement expression that both supported compilers offer. Use it as a
/// statement or as the whole initialiser of a variable: inside a braced initialiser g++ 12 leaks
/// the members that were already built when it returns.
#define TRY(expression)                                            \
  ({                                                               \
    auto try_result = (expression);                                \
    if (!try_result.ok()) [[unlikely]] {                           \
      return ::wagtail::internal::StatusOf(std::move(try_result)); \
    }                                                              \
    ::wagtail::internal::ValueOf(std::move(try_result));           \
  })

/// Like TRY, but passes an error of the layer below through `translate` (absl::Status ->
/// absl::Status), which converts it into one of this layer, before it is returned.
#define TRY_AS(expression, translate)                                         \
  ({                                                                          \
    auto try_result = (expression);                                           \
    if (!try_result.ok()) [[unlikely]] {                                      \
      return translate(::wagtail::internal::StatusOf(std::move(try_result))); \
    }                                                                         \
    ::wagtail::internal::ValueOf(std::move(try_result));                      \
  })
