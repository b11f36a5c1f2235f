#include "services/targetd/targetd_settings.h"

#include "base/try.h"
#include "configuration/configuration_text.h"
#include "settings/settings_text.h"

namespace wagtail {

namespace {

constexpr uint64_t kMaxPort = 65535;
constexpr size_t kMinKeyBytes = 16;

}  // namespace

absl::StatusOr<targetd_settings> ReadTargetdSettings(const std::string& path) {
  targetd_settings settings;
  target_daemon_options& daemon = settings.daemon;
  TRY(ReadSettingsFile(path, [&settings, &daemon](object_reader& file) {
    daemon.target = file.RequiredText("target", NameRule());
    daemon.failure_domain = file.RequiredText("failure_domain", NameRule());
    daemon.rpc_address = file.Text("rpc_address", daemon.rpc_address);
    daemon.rpc_port = static_cast<uint16_t>(file.Unsigned("rpc_port", 0, {0, kMaxPort}));
    daemon.announced_rpc_address = file.Text("announced_rpc_address", "");
    daemon.announced_rpc_port =
        static_cast<uint16_t>(file.Unsigned("announced_rpc_port", 0, {0, kMaxPort}));
    settings.http_address = file.Text("http_address", settings.http_address);
    settings.http_port = static_cast<uint16_t>(file.Unsigned("http_port", 0, {0, kMaxPort}));
    daemon.cluster_key =
        file.RequiredSecret("cluster_key", {.least_bytes = kMinKeyBytes, .allowed = "a text"});
    settings.table_url = file.RequiredText("table_url");
    daemon.queue_limit =
        static_cast<uint32_t>(file.Unsigned("queue_limit", daemon.queue_limit, {0, 1024}));
    daemon.id_life = file.Milliseconds("id_life_ms", daemon.id_life,
                                       {std::chrono::seconds(1), std::chrono::hours(1)});
    daemon.stop_limit =
        file.Milliseconds("stop_limit_ms", daemon.stop_limit,
                          {std::chrono::milliseconds(100), std::chrono::minutes(5)});
    settings.logging.format =
        file.Choice("log_format", log_format::kKeyValue,
                    {{"key_value", log_format::kKeyValue}, {"json", log_format::kJson}});
    settings.logging.level = file.Choice("log_level", log_level::kInfo,
                                         {{"debug", log_level::kDebug},
                                          {"info", log_level::kInfo},
                                          {"warning", log_level::kWarning},
                                          {"error", log_level::kError}});
  }));
  return settings;
}

}  // namespace wagtail
