#include "daemon/daemon_main.h"

#include <CLI/CLI.hpp>
#include <cstdio>

#include "base/build_info.h"
#include "base/layer_error.h"

namespace wagtail {

namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;

}  // namespace

int RunDaemonMain(int argc, char** argv, const std::string& description, const daemon_run& run) {
  CLI::App app(description);
  std::string path;
  bool check_only = false;
  app.add_option("--settings", path, "settings file, JSON with comments")->required();
  app.add_flag("--check-settings", check_only, "check the settings and exit");
  app.set_version_flag("--version", BuildDescription());
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kDone : kUsage;
  }
  absl::Status status = run(path, check_only ? settings_use::kCheck : settings_use::kServe);
  if (status.ok()) {
    return kDone;
  }
  std::fprintf(stderr, "%s\n", MessageOf(status).c_str());
  return kFailed;
}

}  // namespace wagtail
