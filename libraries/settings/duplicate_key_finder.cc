#include "settings/duplicate_key_finder.h"

#include <numeric>

namespace wagtail {

void duplicate_key_finder::OnEvent(nlohmann::json::parse_event_t event,
                                   const nlohmann::json& parsed) {
  using enum nlohmann::detail::parse_event_t;
  switch (event) {
    case object_start:
    case array_start:
      OnElement();
      open_.push_back({.is_array = event == array_start, .next_index = 0, .key = {}, .keys = {}});
      return;
    case object_end:
    case array_end:
      open_.pop_back();
      return;
    case key:
      OnKey(parsed.get_ref<const std::string&>());
      return;
    case value:
      OnElement();
      return;
  }
}

void duplicate_key_finder::OnKey(const std::string& key) {
  open_value& object = open_.back();
  object.key = key;
  if (!object.keys.insert(key).second) {
    problems_.push_back(
        {.path = Path(), .value = "a second value for the same key", .allowed = "each key once"});
  }
}

void duplicate_key_finder::OnElement() {
  if (open_.empty() || !open_.back().is_array) {
    return;
  }
  open_.back().key = std::to_string(open_.back().next_index++);
}

std::string duplicate_key_finder::Path() const {
  return std::accumulate(
      open_.begin(), open_.end(), std::string(),
      [](const std::string& path, const open_value& value) { return ChildPath(path, value.key); });
}

}  // namespace wagtail
