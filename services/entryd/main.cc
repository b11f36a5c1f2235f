#include <cstdio>

#include "base/try.h"
#include "daemon/daemon_main.h"
#include "daemon/stop_signal.h"
#include "services/entryd/entryd_settings.h"
#include "table/http_table.h"

namespace wagtail {

namespace {

absl::Status Run(const std::string& path, settings_use use) {
  entryd_settings settings = TRY(ReadEntrydSettings(path));
  if (use == settings_use::kCheck) {
    return absl::OkStatus();
  }
  stop_signal stop;
  SetUpLogging(settings.logging);
  http_table table({.base_url = settings.table_url});
  entry_daemon daemon(settings.daemon, table);
  TRY(daemon.Start());
  std::printf("listening http=%u rpc=%u\n", daemon.http_port(), daemon.rpc_port());
  std::fflush(stdout);
  stop.Wait();
  daemon.Stop();
  ReportDroppedFacts();
  return absl::OkStatus();
}

}  // namespace

}  // namespace wagtail

int main(int argc, char** argv) {
  return wagtail::RunDaemonMain(
      argc, argv, "wagtail-entryd: takes jobs from callers and places their tasks", wagtail::Run);
}
