#include <iostream>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "absl/strings/str_format.h"
#include "http/http_client.h"
#include "security/digest.h"
#include "utilities/wagtailctl/commands.h"

/// @file
/// wagtailctl, the operators' command line.

namespace {

std::string NewChangeId() {
  return absl::StrFormat("%016x%016x", wagtail::RandomNonce64(), wagtail::RandomNonce64());
}

int Run(std::vector<std::string> arguments) {
  const auto parsed = wagtail::ParseCommandLine(std::move(arguments), std::cout, std::cerr);
  if (const auto* code = std::get_if<wagtail::exit_code>(&parsed)) {
    return static_cast<int>(*code);
  }
  wagtail::command_context context = {
      .http = wagtail::CallHttp,
      .now = wagtail::MonotonicNow,
      .sleep = [](wagtail::duration span) { std::this_thread::sleep_for(span); },
      .new_change_id = NewChangeId,
      .out = std::cout,
      .err = std::cerr,
      .in = std::cin};
  return static_cast<int>(wagtail::RunCommand(std::get<wagtail::command_line>(parsed), context));
}

}  // namespace

int main(int argc, char** argv) { return Run({argv + 1, argv + argc}); }
