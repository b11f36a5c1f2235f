#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "settings/settings_problem.h"

namespace wagtail {

/// Follows the parser's events and notes keys that stand twice in one object, of which the parser
/// would silently keep the last.
class duplicate_key_finder {
 public:
  /// @param event what the parser met
  /// @param parsed the key, for key events
  void See(nlohmann::json::parse_event_t event, const nlohmann::json& parsed);

  const settings_problems& problems() const { return problems_; }

 private:
  struct open_value {
    bool is_array = false;
    size_t next_index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  void SeeKey(const std::string& key);
  void SeeElement();
  std::string Path() const;

  std::vector<open_value> open_;
  settings_problems problems_;
};

}  // namespace wagtail
