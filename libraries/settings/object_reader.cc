#include "settings/object_reader.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "base/verify.h"

namespace wagtail {

namespace {

using nlohmann::json;

constexpr std::string_view kObjectAllowed = "an object";
constexpr std::string_view kHiddenValue = "the value (not shown)";
constexpr double kMicrosecondsPerMillisecond = 1000;

const json& EmptyObject() {
  static const json kEmpty = json::object();
  return kEmpty;
}

/// Containers are shown by their type only: they can be large and deep.
std::string ShownValue(const json& value) {
  if (value.is_object()) {
    return "an object";
  }
  if (value.is_array()) {
    return "an array";
  }
  if (value.is_string()) {
    return absl::StrCat("\"", Shown(value.get_ref<const std::string&>()), "\"");
  }
  return value.dump();
}

std::string AllowedText(const text_rule& rule) {
  return absl::StrCat(std::string(rule.allowed), " of ", rule.min_bytes, " to ", rule.max_bytes,
                      " bytes");
}

bool Follows(std::string_view text, const text_rule& rule) {
  if (text.size() < rule.min_bytes || text.size() > rule.max_bytes) {
    return false;
  }
  return !rule.accept || rule.accept(text);
}

std::string AllowedUnsigned(value_range<uint64_t> range) {
  return absl::StrCat("a whole number from ", range.least, " to ", range.most);
}

double MillisecondsOf(duration span) {
  return static_cast<double>(span.count()) / kMicrosecondsPerMillisecond;
}

}  // namespace

object_reader::object_reader(const json& object, std::string path, settings_problems* problems)
    : object_(object.is_object() ? object : EmptyObject()),
      path_(std::move(path)),
      problems_(problems),
      problems_before_(problems->size()) {
  if (!object.is_object()) {
    AddProblem(path_, ShownValue(object), kObjectAllowed);
  }
}

bool object_reader::Has(std::string_view key) { return Find(key) != nullptr; }

std::string object_reader::Text(std::string_view key, std::string_view fallback,
                                const text_rule& rule) {
  const json* value = Find(key);
  if (value == nullptr) {
    return std::string(fallback);
  }
  return CheckText(*value, ChildPath(path_, key), rule).value_or(std::string(fallback));
}

std::string object_reader::RequiredText(std::string_view key, const text_rule& rule) {
  const json* value = FindRequired(key, AllowedText(rule));
  if (value == nullptr) {
    return {};
  }
  return CheckText(*value, ChildPath(path_, key), rule).value_or("");
}

std::string object_reader::RequiredSecret(std::string_view key, const text_rule& rule) {
  const json* value = FindRequired(key, AllowedText(rule));
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string() || !Follows(value->get_ref<const std::string&>(), rule)) {
    AddProblem(ChildPath(path_, key), std::string(kHiddenValue), AllowedText(rule));
    return {};
  }
  return value->get<std::string>();
}

uint64_t object_reader::Unsigned(std::string_view key, uint64_t fallback,
                                 value_range<uint64_t> range) {
  const json* value = Find(key);
  return value == nullptr ? fallback : CheckUnsigned(*value, key, range).value_or(fallback);
}

uint64_t object_reader::RequiredUnsigned(std::string_view key, value_range<uint64_t> range) {
  const json* value = FindRequired(key, AllowedUnsigned(range));
  return value == nullptr ? range.least : CheckUnsigned(*value, key, range).value_or(range.least);
}

double object_reader::Number(std::string_view key, double fallback, value_range<double> range) {
  const json* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_number() || !range.Contains(value->get<double>())) {
    AddProblem(ChildPath(path_, key), ShownValue(*value),
               absl::StrCat("a number from ", range.least, " to ", range.most));
    return fallback;
  }
  return value->get<double>();
}

bool object_reader::Boolean(std::string_view key, bool fallback) {
  const json* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_boolean()) {
    AddProblem(ChildPath(path_, key), ShownValue(*value), "true or false");
    return fallback;
  }
  return value->get<bool>();
}

duration object_reader::Milliseconds(std::string_view key, duration fallback,
                                     value_range<duration> range) {
  VERIFY(key.ends_with("_ms"));
  const json* value = Find(key);
  if (value == nullptr) {
    return fallback;
  }
  const double least = MillisecondsOf(range.least);
  const double most = MillisecondsOf(range.most);
  const double found = value->is_number() ? value->get<double>() : least - 1;
  if (!(least <= found && found <= most)) {
    AddProblem(ChildPath(path_, key), ShownValue(*value),
               absl::StrCat("a number of milliseconds from ", least, " to ", most));
    return fallback;
  }
  return duration(std::llround(found * kMicrosecondsPerMillisecond));
}

std::optional<size_t> object_reader::ChoiceIndex(std::string_view key,
                                                 const std::vector<std::string_view>& names) {
  const json* value = Find(key);
  if (value == nullptr) {
    return std::nullopt;
  }
  const auto found = std::ranges::find_if(
      names, [&](std::string_view name) { return value->is_string() && *value == name; });
  if (found != names.end()) {
    return found - names.begin();
  }
  const std::string allowed = absl::StrJoin(
      names, ", ", [](std::string* out, std::string_view name) { out->append(name); });
  AddProblem(ChildPath(path_, key), ShownValue(*value), "one of " + allowed);
  return std::nullopt;
}

std::vector<std::string> object_reader::Texts(std::string_view key, size_t max_count,
                                              const text_rule& rule) {
  const json* value = Find(key);
  if (value == nullptr) {
    return {};
  }
  const std::string path = ChildPath(path_, key);
  if (!value->is_array() || value->size() > max_count) {
    AddProblem(path, ShownValue(*value), absl::StrCat("an array of at most ", max_count, " texts"));
    return {};
  }
  std::vector<std::string> texts;
  for (size_t index = 0; index < value->size(); ++index) {
    const std::string element_path = ChildPath(path, std::to_string(index));
    std::optional<std::string> text = CheckText((*value)[index], element_path, rule);
    if (!text.has_value()) {
      continue;
    }
    if (std::ranges::find(texts, *text) != texts.end()) {
      AddProblem(element_path, ShownValue((*value)[index]), "each text once");
      continue;
    }
    texts.push_back(std::move(*text));
  }
  return texts;
}

void object_reader::Object(std::string_view key, const object_hook& read) {
  const json* value = Find(key);
  ReadNested(value == nullptr ? EmptyObject() : *value, ChildPath(path_, key), read);
}

void object_reader::RequiredObject(std::string_view key, const object_hook& read) {
  const json* value = FindRequired(key, kObjectAllowed);
  if (value != nullptr) {
    ReadNested(*value, ChildPath(path_, key), read);
  }
}

void object_reader::NamedObjects(std::string_view key, size_t max_count, const text_rule& name_rule,
                                 const named_object_hook& read) {
  const json* value = Find(key);
  if (value == nullptr) {
    return;
  }
  const std::string path = ChildPath(path_, key);
  if (!value->is_object() || value->size() > max_count) {
    AddProblem(path, ShownValue(*value),
               absl::StrCat("an object of at most ", max_count, " names"));
    return;
  }
  for (const auto& [name, element] : value->items()) {
    const std::string element_path = ChildPath(path, name);
    if (!Follows(name, name_rule)) {
      AddProblem(element_path, absl::StrCat("the name \"", Shown(name), "\""),
                 AllowedText(name_rule));
    }
    ReadNested(element, element_path,
               [&read, &name = name](object_reader& reader) { read(name, reader); });
  }
}

void object_reader::Objects(std::string_view key, size_t max_count, const object_hook& read) {
  const json* value = Find(key);
  if (value == nullptr) {
    return;
  }
  const std::string path = ChildPath(path_, key);
  if (!value->is_array() || value->size() > max_count) {
    AddProblem(path, ShownValue(*value),
               absl::StrCat("an array of at most ", max_count, " objects"));
    return;
  }
  for (size_t index = 0; index < value->size(); ++index) {
    ReadNested((*value)[index], ChildPath(path, std::to_string(index)), read);
  }
}

void object_reader::Refuse(std::string_view key, std::string_view allowed) {
  const auto found = object_.find(key);
  AddProblem(ChildPath(path_, key), found == object_.end() ? std::string() : ShownValue(*found),
             allowed);
}

void object_reader::Add(settings_problem problem) { problems_->push_back(std::move(problem)); }

void object_reader::Finish() {
  if (other_keys_ == other_keys::kAllowed) {
    return;
  }
  for (const auto& [key, value] : object_.items()) {
    if (!requested_keys_.contains(key)) {
      const std::string known =
          requested_keys_.empty() ? "no keys" : absl::StrJoin(requested_keys_, ", ");
      AddProblem(ChildPath(path_, key), "the unknown key", known);
    }
  }
}

const json* object_reader::Find(std::string_view key) {
  requested_keys_.emplace(key);
  const auto found = object_.find(key);
  return found == object_.end() ? nullptr : &*found;
}

const json* object_reader::FindRequired(std::string_view key, std::string_view allowed) {
  const json* value = Find(key);
  if (value == nullptr) {
    AddProblem(ChildPath(path_, key), {}, allowed);
  }
  return value;
}

std::optional<std::string> object_reader::CheckText(const json& value, const std::string& path,
                                                    const text_rule& rule) {
  if (!value.is_string() || !Follows(value.get_ref<const std::string&>(), rule)) {
    AddProblem(path, ShownValue(value), AllowedText(rule));
    return std::nullopt;
  }
  return value.get<std::string>();
}

std::optional<uint64_t> object_reader::CheckUnsigned(const json& value, std::string_view key,
                                                     value_range<uint64_t> range) {
  if (!value.is_number_unsigned() || !range.Contains(value.get<uint64_t>())) {
    AddProblem(ChildPath(path_, key), ShownValue(value), AllowedUnsigned(range));
    return std::nullopt;
  }
  return value.get<uint64_t>();
}

void object_reader::AddProblem(std::string path, std::string value, std::string_view allowed) {
  problems_->push_back(
      {.path = std::move(path), .value = std::move(value), .allowed = std::string(allowed)});
}

void object_reader::ReadNested(const json& value, std::string path, const object_hook& read) {
  object_reader reader(value, std::move(path), problems_);
  read(reader);
  reader.Finish();
}

}  // namespace wagtail
