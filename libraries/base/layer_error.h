#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/strings/cord.h"

/// @file
/// Typed errors per layer, carried inside absl::Status as a payload. A layer defines an enum and
/// specialises `layer_error_traits` with its name and the canonical code of each error.

namespace wagtail {

/// Specialised per error enum with:
///   static constexpr std::string_view kLayer;
///   static absl::StatusCode CanonicalCode(E error);
template <typename E>
struct layer_error_traits;

/// Builds a status that carries a typed error of layer E.
/// @param error the layer's own error
/// @param message human-readable text
/// @return a status whose canonical code is that of `error`
template <typename E>
absl::Status MakeError(E error, std::string_view message) {
  using traits = layer_error_traits<E>;
  absl::Status status(traits::CanonicalCode(error),
                      absl::string_view(message.data(), message.size()));
  status.SetPayload(absl::string_view(traits::kLayer.data(), traits::kLayer.size()),
                    absl::Cord(std::to_string(static_cast<int>(error))));
  return status;
}

/// @return the typed error of layer E inside `status`, if it carries one
template <typename E>
std::optional<E> ErrorOf(const absl::Status& status) {
  using traits = layer_error_traits<E>;
  auto payload = status.GetPayload(absl::string_view(traits::kLayer.data(), traits::kLayer.size()));
  if (!payload.has_value()) {
    return std::nullopt;
  }
  return static_cast<E>(std::stoi(std::string(*payload)));
}

/// @return the message of `status` as a standard string
inline std::string MessageOf(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

}  // namespace wagtail
