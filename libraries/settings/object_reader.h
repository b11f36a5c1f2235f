#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "settings/settings_problem.h"

namespace wagtail {

/// Closed range of allowed values.
template <typename T>
struct value_range {
  T least;
  T most;
  bool Contains(const T& value) const { return least <= value && value <= most; }
};

/// Constraints on a text value.
struct text_rule {
  size_t min_bytes = 1;
  size_t max_bytes = 256;
  std::string_view allowed = "a text";                ///< description of the rule in messages
  std::function<bool(std::string_view)> accept = {};  ///< further check; none when empty
};

/// Reads one JSON object key by key. Getters with a fallback return it when the key is absent;
/// every value that breaks its rule is recorded as a problem with its path, and a usable value is
/// still returned, so that one pass finds every problem. Finish() records keys that were not read.
class object_reader {
 public:
  using object_hook = std::function<void(object_reader&)>;
  using named_object_hook = std::function<void(const std::string& name, object_reader&)>;

  /// @param object must outlive the reader; anything but an object is recorded as a problem
  /// @param path JSON pointer of `object`
  /// @param problems receives the problems; must outlive the reader
  object_reader(const nlohmann::json& object, std::string path, settings_problems* problems);

  /// @return whether `key` is present; marks it as read
  bool Has(std::string_view key);

  std::string Text(std::string_view key, std::string_view fallback, const text_rule& rule = {});
  std::string RequiredText(std::string_view key, const text_rule& rule = {});
  /// Like RequiredText, but messages never contain the value.
  std::string RequiredSecret(std::string_view key, const text_rule& rule = {});

  uint64_t Unsigned(std::string_view key, uint64_t fallback, value_range<uint64_t> range);
  uint64_t RequiredUnsigned(std::string_view key, value_range<uint64_t> range);

  double Number(std::string_view key, double fallback, value_range<double> range);
  bool Boolean(std::string_view key, bool fallback);

  /// @param key must end in `_ms`; the value is a number of milliseconds
  duration Milliseconds(std::string_view key, duration fallback, value_range<duration> range);

  /// @param choices names and values, for instance {{"text", log_form::kText}, ...}
  template <typename E>
  E Choice(std::string_view key, E fallback,
           std::initializer_list<std::pair<std::string_view, E>> choices) {
    std::vector<std::string_view> names;
    for (const auto& [name, value] : choices) {
      names.push_back(name);
    }
    const std::optional<size_t> index = ChoiceIndex(key, names);
    return index.has_value() ? (choices.begin() + *index)->second : fallback;
  }

  /// Reads an array of texts without repetition; empty when absent.
  /// @param max_count greatest number of elements
  std::vector<std::string> Texts(std::string_view key, size_t max_count,
                                 const text_rule& rule = {});

  /// Reads a nested object; an absent one is read as {}, so that `read` fills in the defaults.
  void Object(std::string_view key, const object_hook& read);
  void RequiredObject(std::string_view key, const object_hook& read);
  /// Reads an object whose keys are names chosen by the author and whose values are objects.
  /// @param max_count greatest number of names
  /// @param name_rule constraints on the names
  void NamedObjects(std::string_view key, size_t max_count, const text_rule& name_rule,
                    const named_object_hook& read);
  /// Reads an array of objects; nothing when absent.
  void Objects(std::string_view key, size_t max_count, const object_hook& read);

  /// Records a problem that the caller found with the value at `key`.
  void Refuse(std::string_view key, std::string_view allowed);

  /// Records a problem anywhere in the text, for checks across objects.
  void Add(settings_problem problem);

  /// Accepts keys that no getter reads, as in answers of a newer release.
  void AllowOtherKeys() { other_keys_ = other_keys::kAllowed; }

  /// Records every key that no getter has read. Nested objects are finished by the reader itself.
  void Finish();

  /// @return whether this object, with those nested in it, has had no problem so far
  bool IsClean() const { return problems_->size() == problems_before_; }

 private:
  const nlohmann::json* Find(std::string_view key);
  const nlohmann::json* FindRequired(std::string_view key, std::string_view allowed);
  std::optional<size_t> ChoiceIndex(std::string_view key,
                                    const std::vector<std::string_view>& names);
  std::optional<std::string> CheckText(const nlohmann::json& value, const std::string& path,
                                       const text_rule& rule);
  std::optional<uint64_t> CheckUnsigned(const nlohmann::json& value, std::string_view key,
                                        value_range<uint64_t> range);
  void AddProblem(std::string path, std::string value, std::string_view allowed);
  void ReadNested(const nlohmann::json& value, std::string path, const object_hook& read);

  enum class other_keys { kRefused, kAllowed };

  const nlohmann::json& object_;
  std::string path_;
  settings_problems* problems_;
  size_t problems_before_;
  std::set<std::string, std::less<>> requested_keys_;
  other_keys other_keys_ = other_keys::kRefused;
};

}  // namespace wagtail
