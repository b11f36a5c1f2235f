#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "base/version.h"
#include "http/http_server.h"
#include "services/targetd/targetd_http.h"
#include "services/targetd/targetd_settings.h"
#include "table/http_table.h"

namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;

// Blocks the signals that end the daemon, in this thread and all that it makes.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int Serve(const wagtail::targetd_settings& settings) {
  sigset_t signals = BlockStopSignals();
  wagtail::SetUpLogging(settings.logging);
  wagtail::http_table table({.base_url = settings.table_url});
  wagtail::target_daemon daemon(settings.daemon, table);
  if (absl::Status listening = daemon.Listen(); !listening.ok()) {
    std::fprintf(stderr, "%s\n", wagtail::MessageOf(listening).c_str());
    return kFailed;
  }
  auto http =
      wagtail::http_server::Start({.address = settings.http_address, .port = settings.http_port},
                                  [&daemon](const wagtail::http_request& request) {
                                    return wagtail::AnswerTargetdRequest(daemon, request);
                                  });
  if (!http.ok()) {
    std::fprintf(stderr, "%s\n", wagtail::MessageOf(http.status()).c_str());
    return kFailed;
  }
  std::printf("listening http=%u rpc=%u\n", (*http)->port(), daemon.rpc_port());
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  (*http)->Stop();
  daemon.Stop();
  // A task that outlasted the stop limit still holds a thread; the end of the process must not wait
  // for it, nor pull static state from under it.
  std::fflush(nullptr);
  std::_Exit(kDone);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("wagtail-targetd: starts the tasks of the target beside it");
  std::string path;
  bool check_only = false;
  app.add_option("--settings", path, "settings file, JSON with comments")->required();
  app.add_flag("--check-settings", check_only, "check the settings and exit");
  app.set_version_flag("--version", std::string(wagtail::kVersion));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kDone : kUsage;
  }
  absl::StatusOr<wagtail::targetd_settings> settings = wagtail::ReadTargetdSettings(path);
  if (!settings.ok()) {
    std::fprintf(stderr, "%s\n", wagtail::MessageOf(settings.status()).c_str());
    return kFailed;
  }
  return check_only ? kDone : Serve(*settings);
}
