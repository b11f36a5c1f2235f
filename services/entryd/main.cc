#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <string>

#include "base/version.h"
#include "services/entryd/entryd_settings.h"
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

int Serve(const wagtail::entryd_settings& settings) {
  sigset_t signals = BlockStopSignals();
  wagtail::SetUpLogging(settings.logging);
  wagtail::http_table table({.base_url = settings.table_url});
  wagtail::entry_daemon daemon(settings.daemon, table);
  if (absl::Status started = daemon.Start(); !started.ok()) {
    std::fprintf(stderr, "%s\n", wagtail::MessageOf(started).c_str());
    return kFailed;
  }
  std::printf("listening http=%u rpc=%u\n", daemon.http_port(), daemon.rpc_port());
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  daemon.Stop();
  return kDone;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("wagtail-entryd: takes jobs from callers and places their tasks");
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
  absl::StatusOr<wagtail::entryd_settings> settings = wagtail::ReadEntrydSettings(path);
  if (!settings.ok()) {
    std::fprintf(stderr, "%s\n", wagtail::MessageOf(settings.status()).c_str());
    return kFailed;
  }
  return check_only ? kDone : Serve(*settings);
}
