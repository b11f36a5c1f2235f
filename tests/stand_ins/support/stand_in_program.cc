#include "tests/stand_ins/support/stand_in_program.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/try.h"

namespace wagtail {
namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;

absl::StatusOr<control_reader> LoadSettings(const std::string& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream) {
    return MakeError(stand_in_error::kBadSettings, "cannot read " + file);
  }
  return control_reader::Parse(text.str());
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

absl::Status Serve(const std::string& settings_file, const stand_in_factory& factory) {
  // Blocked before any thread starts, so that only sigwait receives them.
  sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  control_reader settings = TRY(LoadSettings(settings_file));
  std::unique_ptr<stand_in> program = TRY(factory(std::move(settings)));
  auto server =
      TRY(http_server::Start(program->server_options(), [&program](const http_request& request) {
        return program->Handle(request);
      }));
  std::cout << "listening " << server->port() << std::endl;
  program->OnListening(server->port());

  int signal = 0;
  sigwait(&signals, &signal);
  program->OnStopping();
  server->Stop();
  return absl::OkStatus();
}

}  // namespace

int RunStandIn(int argc, char** argv, const std::string& description,
               const stand_in_factory& factory) {
  CLI::App app(description);
  std::string settings_file;
  app.add_option("--settings", settings_file, "settings file, JSON with comments")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kDone : kUsage;
  }
  absl::Status outcome = Serve(settings_file, factory);
  if (!outcome.ok()) {
    std::cerr << settings_file << ": " << outcome.message() << std::endl;
    return ErrorOf<stand_in_error>(outcome).has_value() ? kUsage : kFailed;
  }
  return kDone;
}

http_response JsonAnswer(int status, const nlohmann::json& body) {
  return {.status = status,
          .headers = {{"content-type", "application/json"}},
          .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

http_response ErrorAnswer(int status, std::string_view error) {
  return JsonAnswer(status, {{"error", error}});
}

}  // namespace wagtail
