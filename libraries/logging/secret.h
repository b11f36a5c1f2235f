#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace wagtail {

/// Text shown in place of a secret.
inline constexpr std::string_view kRedacted = "[redacted]";

/// Holds a token or key so that it can't be logged by accident: it does not convert to a string,
/// and its text is accessible only through Reveal().
class secret {
 public:
  secret() = default;
  explicit secret(std::string text) : text_(std::move(text)) {}

  /// @return the secret itself, for comparing and for signing; never to be logged
  std::string_view Reveal() const { return text_; }
  bool empty() const { return text_.empty(); }

 private:
  std::string text_;
};

}  // namespace wagtail
