#include "tests/stand_ins/support/control_reader.h"

namespace wagtail {

absl::StatusOr<control_reader> control_reader::Parse(std::string_view text) {
  auto object = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false,
                                      /*ignore_comments=*/true);
  if (!object.is_object()) {
    return MakeError(stand_in_error::kBadSettings, "not a JSON object");
  }
  return control_reader(std::move(object));
}

const nlohmann::json* control_reader::Find(const char* key) {
  known_keys_.emplace(key);
  auto member = object_.find(key);
  return member == object_.end() ? nullptr : &*member;
}

void control_reader::ReportInvalid(const char* key, std::string_view allowed) {
  if (fault_.empty()) {
    fault_ = std::string(key) + " must be " + std::string(allowed) + ", not " +
             object_.at(key).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  }
}

void control_reader::Read(const char* key, std::string& field) {
  const nlohmann::json* member = Find(key);
  if (member == nullptr) {
    return;
  }
  if (!member->is_string()) {
    ReportInvalid(key, "a text");
    return;
  }
  field = member->get<std::string>();
}

void control_reader::Read(const char* key, bool& field) {
  const nlohmann::json* member = Find(key);
  if (member == nullptr) {
    return;
  }
  if (!member->is_boolean()) {
    ReportInvalid(key, "true or false");
    return;
  }
  field = member->get<bool>();
}

void control_reader::Read(const char* key, int64_t& field, int64_t lowest, int64_t highest) {
  const nlohmann::json* member = Find(key);
  if (member == nullptr) {
    return;
  }
  bool fits = member->is_number_integer() && *member >= lowest && *member <= highest;
  if (!fits) {
    ReportInvalid(
        key, "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest));
    return;
  }
  field = member->get<int64_t>();
}

void control_reader::Read(const char* key, double& field, double lowest, double highest) {
  const nlohmann::json* member = Find(key);
  if (member == nullptr) {
    return;
  }
  bool fits = member->is_number() && *member >= lowest && *member <= highest;
  if (!fits) {
    ReportInvalid(key,
                  "a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
    return;
  }
  field = member->get<double>();
}

absl::Status control_reader::Finish() const {
  if (!fault_.empty()) {
    return MakeError(stand_in_error::kBadSettings, fault_);
  }
  for (const auto& [key, value] : object_.items()) {
    if (!known_keys_.contains(key)) {
      return MakeError(stand_in_error::kBadSettings, "unknown key " + key);
    }
  }
  return absl::OkStatus();
}

}  // namespace wagtail
