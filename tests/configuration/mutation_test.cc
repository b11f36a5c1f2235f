#include <rapidcheck.h>
#include <regex.h>

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_split.h"
#include "configuration/audit_record.h"
#include "configuration/configuration_difference.h"
#include "configuration/configuration_record.h"
#include "configuration/configuration_text.h"
#include "configuration/stage_order.h"
#include "tests/configuration/sample_text.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

constexpr size_t kMaxMutations = 4;

const std::vector<std::string>& Fragments() {
  static const std::vector<std::string> kFragments = {"{",
                                                      "}",
                                                      "[",
                                                      "]",
                                                      ",",
                                                      ":",
                                                      "\"",
                                                      "//",
                                                      "/*",
                                                      "*/",
                                                      "\\u0000",
                                                      "\\ud800",
                                                      "1e999",
                                                      "-0",
                                                      "18446744073709551616",
                                                      "null",
                                                      "true",
                                                      "{}",
                                                      "[]",
                                                      "\"services\"",
                                                      "\"depends_on\"",
                                                      "\"court-control\"",
                                                      "\"report\"",
                                                      "\"a/~b\": 1,",
                                                      std::string(1, '\0'),
                                                      "\xff",
                                                      "\xef\xbb\xbf",
                                                      "\n",
                                                      std::string(300, '['),
                                                      std::string(300, 'x')};
  return kFragments;
}

/// Replaces a substring of `text`, possibly empty, by a fragment, a byte or another substring.
std::string Mutated(std::string text) {
  const auto start = *rc::gen::inRange<size_t>(0, text.size() + 1);
  const auto length = *rc::gen::element<size_t>(0, 0, 1, 1, 2, 8, 40);
  const auto piece = *rc::gen::inRange<size_t>(0, text.size() + 1);
  const auto choice = *rc::gen::inRange(0, 3);
  std::string replacement = text.substr(piece, length);
  if (choice == 0) {
    replacement = *rc::gen::elementOf(Fragments());
  } else if (choice == 1) {
    replacement = std::string(1, *rc::gen::arbitrary<char>());
  }
  return text.replace(start, length, replacement);
}

std::string MutatedRepeatedly(std::string text) {
  const auto mutations = *rc::gen::inRange<size_t>(1, kMaxMutations + 1);
  for (size_t done = 0; done < mutations; ++done) {
    text = Mutated(std::move(text));
  }
  return text;
}

/// A compiled POSIX pattern; std::regex does not compile without warnings under the sanitizers.
class line_pattern {
 public:
  explicit line_pattern(const char* pattern) {
    CHECK(regcomp(&compiled_, pattern, REG_EXTENDED | REG_NOSUB) == 0);
  }
  ~line_pattern() { regfree(&compiled_); }
  line_pattern(const line_pattern&) = delete;
  line_pattern& operator=(const line_pattern&) = delete;
  bool Matches(const std::string& line) const {
    return regexec(&compiled_, line.c_str(), 0, nullptr, 0) == 0;
  }

 private:
  regex_t compiled_{};
};

/// @return whether each line of `message` names a JSON path or a position in the text
bool NamesLocations(const std::string& message) {
  static const line_pattern kLocation(
      "^op\\.jsonc(:[0-9]+:[0-9]+: .+|: /.*: .+; allowed: .+|: [0-9]+ more problems)$");
  const std::vector<std::string> lines = absl::StrSplit(message, '\n');
  return std::ranges::all_of(lines,
                             [](const std::string& line) { return kLocation.Matches(line); });
}

/// Runs every operation that the daemons and tools apply to an accepted text.
void CheckAccepted(const configuration& parsed, const std::string& text) {
  std::vector<std::string> used;
  std::ranges::transform(parsed.services, std::back_inserter(used),
                         [](const auto& service) { return service.first; });
  RC_ASSERT(StageOrder(parsed, used).ok());
  RC_ASSERT(DiffConfigurations(parsed, parsed).empty());
  configuration_record record;
  record.version = 1;
  record.text = text;
  record.change_id = "c-1";
  record.author = "amara";
  const absl::StatusOr<configuration_record> read = ParseConfigurationRecord(Serialize(record));
  RC_ASSERT(read.ok());
  RC_ASSERT(*read == record);
}

}  // namespace

TEST_GROUP(Mutation){};

TEST(Mutation, AMutatedTextIsAcceptedOrRefusedWithLocations) {
  CHECK(rc::check("no mutation breaks the parser", [] {
    const std::string text = MutatedRepeatedly(std::string(kSampleText));
    const absl::StatusOr<configuration> parsed = ParseConfiguration(text, "op.jsonc");
    if (parsed.ok()) {
      CheckAccepted(*parsed, text);
    } else {
      RC_ASSERT(ErrorOf<configuration_error>(parsed.status()) == configuration_error::kInvalidText);
      RC_ASSERT(NamesLocations(MessageOf(parsed.status())));
    }
  }));
}

TEST(Mutation, MutatedRowsAndRequestsAreParsedOrRefused) {
  configuration_record record = {.version = 3,
                                 .text = std::string(kSampleText),
                                 .leaving_failure_domains = {"kandy-1"},
                                 .leaving_targets = {"t-1"},
                                 .change_id = "c-1",
                                 .author = "amara"};
  const configuration_change change = {.change_id = "c-1",
                                       .author = "amara",
                                       .base_version = 2,
                                       .kind = change_kind::kLeaveTarget,
                                       .text = {},
                                       .subject = "t-1"};
  const std::string row = Serialize(record);
  const std::string request = SerializeChangeRequest(change);
  const std::string audit = Serialize(AuditOfCommitted(change, "2026-12-04T02:15:00Z"));
  CHECK(rc::check("no mutation breaks a reader", [&] {
    const absl::Status failures[] = {ParseConfigurationRecord(MutatedRepeatedly(row)).status(),
                                     ParseChangeRequest(MutatedRepeatedly(request)).status(),
                                     ParseAuditRecord(MutatedRepeatedly(audit)).status()};
    for (const absl::Status& failure : failures) {
      const auto error = ErrorOf<configuration_error>(failure);
      RC_ASSERT(failure.ok() == !error.has_value());
      RC_ASSERT(error.value_or(configuration_error::kInvalidRecord) ==
                configuration_error::kInvalidRecord);
    }
  }));
}

}  // namespace wagtail
