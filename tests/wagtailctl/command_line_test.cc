#include "utilities/wagtailctl/command_line.h"

#include <chrono>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "tests/wagtailctl/command_run.h"
// Included last: CppUTest's macros would break the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

using arguments = std::vector<std::string>;

command_line Parsed(const arguments& given) {
  std::ostringstream out;
  std::ostringstream err;
  const auto parsed = ParseCommandLine(given, out, err);
  CHECK_TEXT(std::holds_alternative<command_line>(parsed), err.str().c_str());
  return std::get<command_line>(parsed);
}

}  // namespace

TEST_GROUP(CommandLine) {
  std::ostringstream out;
  std::ostringstream err;

  void CheckExit(exit_code expected, const arguments& given) {
    const auto parsed = ParseCommandLine(given, out, err);
    CHECK(std::holds_alternative<exit_code>(parsed));
    CHECK(std::get<exit_code>(parsed) == expected);
  }
};

TEST(CommandLine, GlobalOptionsAreAcceptedBeforeOrAfterTheCommand) {
  for (const arguments& given :
       {arguments{"--entry", "http://10.0.0.1:80/", "--entry", "http://10.0.0.2:80", "--json",
                  "--timeout", "7", "status"},
        arguments{"status", "--timeout", "7", "--json", "--entry", "http://10.0.0.1:80", "--entry",
                  "http://10.0.0.2:80"}}) {
    const command_line line = Parsed(given);
    CHECK(line.command == command_name::kStatus && line.form == output_form::kJson);
    CHECK(line.entries == arguments({"http://10.0.0.1:80", "http://10.0.0.2:80"}));
    CHECK(line.timeout == std::chrono::seconds(7));
  }
}

TEST(CommandLine, ReadsChanges) {
  const arguments entry = {"--entry", "http://10.0.0.1:80"};
  const auto with = [&entry](arguments rest) {
    rest.insert(rest.begin(), entry.begin(), entry.end());
    return Parsed(rest);
  };
  CHECK(with({"leave", "domain", "kandy-1"}).kind == change_kind::kLeaveDomain);
  CHECK(with({"leave", "target", "t-1"}).kind == change_kind::kLeaveTarget);
  CHECK(with({"return", "domain", "kandy-1"}).kind == change_kind::kReturnDomain);
  const command_line line =
      with({"return", "target", "t-1", "--base", "0", "--change-id", "c-1", "--wait"});
  CHECK(line.kind == change_kind::kReturnTarget && line.subject == "t-1");
  CHECK(line.base_version == 0U && line.change_id == "c-1");
  CHECK(line.after == after_change::kWaitInForce);
  CHECK_FALSE(with({"leave", "target", "t-1"}).base_version.has_value());
  CHECK(with({"wait", "12"}).version == 12);
  CHECK(with({"audit", "--after", "3"}).version == 3);
}

TEST(CommandLine, RejectsWrongUsage) {
  const std::string entry = "http://10.0.0.1:80";
  for (const arguments& given : {
           arguments{},
           arguments{"status"},
           arguments{"--entry", entry},
           arguments{"--entry", entry, "nonsense"},
           arguments{"--entry", "10.0.0.1:80", "status"},
           arguments{"--entry", "http://10.0.0.1", "status"},
           arguments{"--entry", "http://10.0.0.1:80/v1", "status"},
           arguments{"--entry", entry, "--timeout", "0", "status"},
           arguments{"--entry", entry, "--token-file", "/nowhere", "status"},
           arguments{"--entry", entry, "apply"},
           arguments{"--entry", entry, "apply", "/nowhere"},
           arguments{"--entry", entry, "leave", "rack", "r-1"},
           arguments{"--entry", entry, "leave", "domain"},
           arguments{"--entry", entry, "leave", "domain", "a b"},
           arguments{"--entry", entry, "wait"},
           arguments{"--entry", entry, "wait", "soon"},
           arguments{"--entry", entry, "wait", "-1"},
           arguments{"--entry", entry, "cancel", "../x"},
           arguments{"--entry", entry, "status", "extra"},
       }) {
    CheckExit(exit_code::kUsage, given);
  }
}

TEST(CommandLine, HelpAndVersionAreNoErrors) {
  CheckExit(exit_code::kDone, {"--help"});
  CheckExit(exit_code::kDone, {"leave", "--help"});
  CheckExit(exit_code::kDone, {"--version"});
  STRCMP_CONTAINS("Exit codes: 0 done", out.str().c_str());
  STRCMP_CONTAINS("wagtailctl 0.", out.str().c_str());
  CHECK(err.str().empty());
}

}  // namespace wagtail
