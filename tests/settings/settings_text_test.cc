#include "settings/settings_text.h"

#include <chrono>
#include <string>
#include <vector>
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

using std::chrono::milliseconds;

enum class sample_mode { kFast, kSafe };

struct sample_settings {
  std::string name;
  uint64_t slots = 0;
  double rate = 0;
  bool debug = false;
  duration timeout{};
  sample_mode mode = sample_mode::kFast;
  std::vector<std::string> peers;
  std::string key;
  uint64_t nested_port = 0;
  std::vector<std::string> rule_names;
};

void ReadSample(object_reader& reader, sample_settings* out) {
  out->name = reader.RequiredText("name", {.max_bytes = 8});
  out->slots = reader.Unsigned("slots", 8, {1, 64});
  out->rate = reader.Number("rate", 0.5, {0, 1});
  out->debug = reader.Boolean("debug", false);
  out->timeout =
      reader.Milliseconds("timeout_ms", milliseconds(50), {milliseconds(1), milliseconds(1000)});
  out->mode = reader.Choice<sample_mode>(
      "mode", sample_mode::kSafe, {{"fast", sample_mode::kFast}, {"safe", sample_mode::kSafe}});
  out->peers = reader.Texts("peers", 3);
  out->key = reader.Has("key") ? reader.RequiredSecret("key", {.min_bytes = 8}) : "";
  reader.Object("listen", [&](object_reader& listen) {
    out->nested_port = listen.Unsigned("port", 80, {1, 65535});
  });
  reader.NamedObjects(
      "rules", 2, {.max_bytes = 4},
      [&](const std::string& name, object_reader& /*rule*/) { out->rule_names.push_back(name); });
}

absl::Status ReadSampleText(std::string_view text, sample_settings* out) {
  return ReadSettings(text, "sample.jsonc",
                      [out](object_reader& reader) { ReadSample(reader, out); });
}

struct refused_text {
  const char* text;
  const char* message;
};

constexpr refused_text kRefusedTexts[] = {
    {R"({})", "sample.jsonc: /name: missing; allowed: a text of 1 to 8 bytes"},
    {R"([])", "/: an array is refused; allowed: an object"},
    {R"({"name": 3})", "/name: 3 is refused; allowed: a text of 1 to 8 bytes"},
    {R"({"name": null})", "/name: null is refused"},
    {R"({"name": "muchtoolong"})", "/name: \"muchtoolong\" is refused"},
    {R"({"name": "a", "slots": -1})",
     "/slots: -1 is refused; allowed: a whole number from 1 to 64"},
    {R"({"name": "a", "slots": 1.5})", "/slots: 1.5 is refused"},
    {R"({"name": "a", "slots": 65})", "/slots: 65 is refused"},
    {R"({"name": "a", "rate": 2})", "/rate: 2 is refused; allowed: a number from 0 to 1"},
    {R"({"name": "a", "debug": "yes"})", "/debug: \"yes\" is refused; allowed: true or false"},
    {R"({"name": "a", "timeout_ms": 0})",
     "/timeout_ms: 0 is refused; allowed: a number of milliseconds from 1 to 1000"},
    {R"({"name": "a", "timeout_ms": "5s"})", "/timeout_ms: \"5s\" is refused"},
    {R"({"name": "a", "mode": "slow"})", "/mode: \"slow\" is refused; allowed: one of fast, safe"},
    {R"({"name": "a", "peers": ["x", "x"]})",
     "/peers/1: \"x\" is refused; allowed: each text once"},
    {R"({"name": "a", "peers": ["x", 1]})", "/peers/1: 1 is refused"},
    {R"({"name": "a", "peers": ["1", "2", "3", "4"]})", "/peers: an array is refused"},
    {R"({"name": "a", "listen": {"prot": 1}})",
     "/listen/prot: the unknown key is refused; allowed: port"},
    {R"({"name": "a", "rules": {"r": 1}})", "/rules/r: 1 is refused; allowed: an object"},
    {R"({"name": "a", "rules": {"a/b~": {}, "toolong": {}}})", "/rules/toolong: the name"},
    {R"({"name": "a", "rules": {"a/b~": {"q": 1}}})", "/rules/a~1b~0/q: the unknown key"},
    {R"({"name": "a", "name": "b"})", "/name: a second value for the same key is refused"},
    {R"({"name": "a", "rules": {"r": {}, "r": {}}})", "/rules/r: a second value"},
    {R"({"name": "a", "extra": 1})", "/extra: the unknown key is refused; allowed: debug, key"},
    {"{\n  \"name\": \"a\",\n  \"slots\" 3\n}", "sample.jsonc:3:11: not JSON with comments"},
    {"", "sample.jsonc:1:1: not JSON"},
    {R"({"name": "a", "slots": 1e999})", "sample.jsonc:1:1: "},
    {"{\"name\": \"\xff\"}", "sample.jsonc:1:1: not UTF-8"},
    {"{\"name\": \"a\"}\n// \xff", "sample.jsonc:2:1: not UTF-8"},
};

}  // namespace

TEST_GROUP(SettingsText){};

TEST(SettingsText, ReadsValuesAndSkipsComments) {
  sample_settings read;
  CHECK(ReadSampleText(R"({
    // a comment
    "name": "kandy", "slots": 4, "rate": 1, "debug": true, "timeout_ms": 2.5, "mode": "fast",
    "peers": ["a", "b"], "listen": {"port": 81}, /* another */ "rules": {"r": {}}
  })",
                       &read)
            .ok());
  CHECK(read.name == "kandy" && read.slots == 4 && read.rate == 1 && read.debug);
  CHECK(read.timeout == duration(2500));
  CHECK(read.mode == sample_mode::kFast);
  CHECK(read.peers == std::vector<std::string>({"a", "b"}));
  CHECK(read.nested_port == 81);
  CHECK(read.rule_names == std::vector<std::string>({"r"}));
}

TEST(SettingsText, FallsBackToDefaults) {
  sample_settings read;
  CHECK(ReadSampleText(R"({"name": "a"})", &read).ok());
  CHECK(read.slots == 8 && read.rate == 0.5 && !read.debug && read.timeout == milliseconds(50));
  CHECK(read.mode == sample_mode::kSafe && read.nested_port == 80);
}

TEST(SettingsText, ReportsFilePathValueAndAllowedValues) {
  for (const refused_text& refused : kRefusedTexts) {
    sample_settings read;
    const std::string message = MessageOf(ReadSampleText(refused.text, &read));
    STRCMP_CONTAINS(refused.message, message.c_str());
    STRCMP_CONTAINS("sample.jsonc", message.c_str());
  }
}

TEST(SettingsText, ReportsEveryProblemOfOneText) {
  sample_settings read;
  const absl::Status status =
      ReadSampleText(R"({"slots": 0, "rate": "x", "listen": {"port": 0}, "zzz": 1})", &read);
  CHECK(ErrorOf<settings_error>(status) == settings_error::kInvalid);
  for (const char* path : {"/name", "/slots", "/rate", "/listen/port", "/zzz"}) {
    STRCMP_CONTAINS(path, MessageOf(status).c_str());
  }
}

TEST(SettingsText, NeverPrintsASecret) {
  sample_settings read;
  const std::string message = MessageOf(ReadSampleText(R"({"name": "a", "key": "hush"})", &read));
  STRCMP_CONTAINS("/key: the value (not shown) is refused", message.c_str());
  CHECK(message.find("hush") == std::string::npos);
}

TEST(SettingsText, ShortensLongTextBetweenCharacters) {
  std::string text(kMaxShownBytes - 1, 'a');
  text += "\xc3\xa6zz";
  CHECK(Shown(text) == std::string(kMaxShownBytes - 1, 'a') + "...");
  CHECK(Shown("a\nb") == "a\\nb");
}

TEST(SettingsText, RejectsDeepNesting) {
  sample_settings read;
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  const absl::Status status = ReadSampleText("{\"name\": \"a\", \"x\": " + deep + "}", &read);
  CHECK(ErrorOf<settings_error>(status) == settings_error::kInvalid);
}

TEST(SettingsText, OtherKeysMayBeAllowed) {
  const auto read = [](object_reader& reader) { reader.AllowOtherKeys(); };
  CHECK(ReadSettings(R"({"new": 1})", "answer", read).ok());
}

TEST(SettingsText, ReportsAMissingFile) {
  const absl::Status status = ReadSettingsFile("/nowhere/x.jsonc", [](object_reader&) {});
  CHECK(ErrorOf<settings_error>(status) == settings_error::kUnreadable);
  STRCMP_CONTAINS("/nowhere/x.jsonc", MessageOf(status).c_str());
}

}  // namespace wagtail
