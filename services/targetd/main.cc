#include <cstdio>
#include <cstdlib>

#include "base/try.h"
#include "daemon/daemon_main.h"
#include "daemon/stop_signal.h"
#include "http/http_server.h"
#include "services/targetd/targetd_http.h"
#include "services/targetd/targetd_settings.h"
#include "table/http_table.h"

namespace wagtail {

namespace {

absl::Status Run(const std::string& path, settings_use use) {
  targetd_settings settings = TRY(ReadTargetdSettings(path));
  if (use == settings_use::kCheck) {
    return absl::OkStatus();
  }
  stop_signal stop;
  SetUpLogging(settings.logging);
  http_table table({.base_url = settings.table_url});
  target_daemon daemon(settings.daemon, table);
  TRY(daemon.Listen());
  std::unique_ptr<http_server> http = TRY(http_server::Start(
      {.address = settings.http_address, .port = settings.http_port},
      [&daemon](const http_request& request) { return AnswerTargetdRequest(daemon, request); }));
  std::printf("listening http=%u rpc=%u\n", http->port(), daemon.rpc_port());
  std::fflush(stdout);
  stop.Wait();
  http->Stop();
  daemon.Stop();
  ReportDroppedFacts();
  // A task that exceeded the stop limit still occupies a thread; the exit must neither wait for it
  // nor destroy static state that it uses.
  std::fflush(nullptr);
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace

}  // namespace wagtail

int main(int argc, char** argv) {
  return wagtail::RunDaemonMain(
      argc, argv, "wagtail-targetd: starts the tasks of the target on the same VM", wagtail::Run);
}
