#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/memory_budget.h"

namespace wagtail {

/// What becomes of a body after its length or a part of it is known.
enum class body_verdict {
  kAccepted,
  kTooLarge,  ///< over the limit of the server, or larger than the whole budget
  kNoMemory,  ///< does not fit into the budget now
};

/// Body of one request while it arrives: counted against the limit and the budget before memory is
/// allocated for it. A refused body is discarded and holds no memory. Used by one thread.
class request_body {
 public:
  /// @param memory budget; must outlive the body
  request_body(memory_budget& memory, size_t max_bytes);
  ~request_body();
  request_body(const request_body&) = delete;
  request_body& operator=(const request_body&) = delete;

  /// Decides on the announced length, before any byte has arrived, and reserves the budget for it.
  /// @param announced_bytes the content-length; empty if the length is not known in advance
  body_verdict Begin(std::optional<size_t> announced_bytes);
  /// Adds a part, or discards it if the body is refused.
  body_verdict Append(std::string_view part);

  body_verdict verdict() const { return verdict_; }
  /// @return bytes that arrived after the refusal
  size_t discarded_bytes() const { return discarded_bytes_; }
  /// @return the whole body; its part of the budget stays reserved until destruction
  std::string Take();

 private:
  body_verdict Refuse(body_verdict verdict);
  /// @return whether the buffer now holds at least `bytes`
  bool Grow(size_t bytes);

  memory_budget& memory_;
  const size_t max_bytes_;
  size_t reserved_bytes_ = 0;
  size_t needs_bytes_ = 0;  ///< by the last growth: the old buffer and the new one
  size_t discarded_bytes_ = 0;
  body_verdict verdict_ = body_verdict::kAccepted;
  std::string text_{};
};

}  // namespace wagtail
