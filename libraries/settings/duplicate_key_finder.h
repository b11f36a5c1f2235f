#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "settings/settings_problem.h"

namespace wagtail {

/// Follows the parser's events and records keys that occur twice in one object; the parser would
/// keep the last value without an error.
class duplicate_key_finder {
 public:
  /// @param event event of the parser
  /// @param parsed the key, for key events
  void OnEvent(nlohmann::json::parse_event_t event, const nlohmann::json& parsed);

  const settings_problems& problems() const { return problems_; }

 private:
  struct open_value {
    bool is_array = false;
    size_t next_index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  void OnKey(const std::string& key);
  void OnElement();
  std::string Path() const;

  std::vector<open_value> open_;
  settings_problems problems_;
};

}  // namespace wagtail
