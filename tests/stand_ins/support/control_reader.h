#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/layer_error.h"

namespace wagtail {

enum class stand_in_error { kBadSettings = 1 };

template <>
struct layer_error_traits<stand_in_error> {
  static constexpr std::string_view kLayer = "wagtail/stand_in";
  static absl::StatusCode CanonicalCode(stand_in_error /*error*/) {
    return absl::StatusCode::kInvalidArgument;
  }
};

/// Reads one JSON object with comments into typed fields. Absent members leave their field
/// unchanged; Finish reports the first member that is unknown, of another type or out of range.
class control_reader {
 public:
  /// @param text a JSON object, with comments allowed
  static absl::StatusOr<control_reader> Parse(std::string_view text);

  void Read(const char* key, std::string& field);
  void Read(const char* key, bool& field);
  /// @param lowest,highest inclusive range
  void Read(const char* key, int64_t& field, int64_t lowest, int64_t highest);
  /// @param lowest,highest inclusive range
  void Read(const char* key, double& field, double lowest, double highest);
  /// @return the first invalid member, unknown ones included
  absl::Status Finish() const;

 private:
  explicit control_reader(nlohmann::json object) : object_(std::move(object)) {}
  const nlohmann::json* Find(const char* key);
  void ReportInvalid(const char* key, std::string_view allowed);

  nlohmann::json object_;
  std::set<std::string, std::less<>> known_keys_;
  std::string fault_;
};

}  // namespace wagtail
