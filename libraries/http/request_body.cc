#include "http/request_body.h"

#include <algorithm>
#include <utility>

namespace wagtail {
namespace {

/// First buffer of a body whose length is not known in advance.
constexpr size_t kFirstBufferBytes = 1 << 10;

}  // namespace

request_body::request_body(memory_budget& memory, size_t max_bytes)
    : memory_(memory), max_bytes_(max_bytes) {}

request_body::~request_body() { memory_.Release(reserved_bytes_); }

body_verdict request_body::Begin(std::optional<size_t> announced_bytes) {
  if (!announced_bytes.has_value()) {
    return verdict_;
  }
  // A body larger than the whole budget would be refused for lack of memory each time it is sent.
  if (*announced_bytes > std::min(max_bytes_, memory_.largest_bytes())) {
    return Refuse(body_verdict::kTooLarge);
  }
  if (!memory_.Reserve(*announced_bytes)) {
    return Refuse(body_verdict::kNoMemory);
  }
  reserved_bytes_ = *announced_bytes;
  return verdict_;
}

body_verdict request_body::Append(std::string_view part) {
  if (verdict_ != body_verdict::kAccepted) {
    discarded_bytes_ += part.size();
    return verdict_;
  }
  if (part.size() > max_bytes_ - text_.size()) {
    discarded_bytes_ = part.size();
    return Refuse(body_verdict::kTooLarge);
  }
  if (!Grow(text_.size() + part.size())) {
    discarded_bytes_ = part.size();
    return Refuse(needs_bytes_ > memory_.largest_bytes() ? body_verdict::kTooLarge
                                                         : body_verdict::kNoMemory);
  }
  text_.append(part);
  return verdict_;
}

std::string request_body::Take() { return std::exchange(text_, {}); }

body_verdict request_body::Refuse(body_verdict verdict) {
  verdict_ = verdict;
  text_ = std::string();
  memory_.Release(std::exchange(reserved_bytes_, 0));
  return verdict;
}

bool request_body::Grow(size_t bytes) {
  if (bytes <= reserved_bytes_) {
    // The announced length is reserved: one allocation holds it.
    text_.reserve(reserved_bytes_);
    return true;
  }
  size_t larger = std::max({bytes, 2 * reserved_bytes_, kFirstBufferBytes});
  // Doubling may not take the last allowed size out of the part for small bodies or over the limit.
  larger = std::max(bytes, std::min(larger, max_bytes_));
  needs_bytes_ = reserved_bytes_ + larger;
  if (!memory_.Reserve(larger)) {
    return false;
  }
  // Both buffers are counted while the text moves. std::string::reserve() may allocate more.
  std::string moved;
  moved.reserve(larger);
  moved.append(text_);
  text_ = std::move(moved);
  memory_.Release(std::exchange(reserved_bytes_, larger));
  return true;
}

}  // namespace wagtail
