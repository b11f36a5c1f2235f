#include "services/targetd/targetd_settings.h"

#include "base/try.h"
#include "configuration/configuration_text.h"
#include "daemon/daemon_settings.h"
#include "settings/settings_text.h"

namespace wagtail {

absl::StatusOr<targetd_settings> ReadTargetdSettings(const std::string& path) {
  targetd_settings settings;
  target_daemon_options& daemon = settings.daemon;
  TRY(ReadSettingsFile(path, [&settings, &daemon](object_reader& file) {
    daemon.target = file.RequiredText("target", NameRule());
    daemon.failure_domain = file.RequiredText("failure_domain", NameRule());
    daemon_settings common = ReadDaemonSettings(file);
    daemon.rpc_address = common.listen.rpc_address;
    daemon.rpc_port = common.listen.rpc_port;
    daemon.cluster_key = common.cluster_key;
    settings.http_address = common.listen.http_address;
    settings.http_port = common.listen.http_port;
    settings.table_url = common.table_url;
    settings.logging = common.logging;
    daemon.announced_rpc_address = file.Text("announced_rpc_address", "");
    daemon.announced_rpc_port = ReadPort(file, "announced_rpc_port");
    daemon.queue_limit =
        static_cast<uint32_t>(file.Unsigned("queue_limit", daemon.queue_limit, {0, 1024}));
    daemon.id_lifetime = file.Milliseconds("id_life_ms", daemon.id_lifetime,
                                           {std::chrono::seconds(1), std::chrono::hours(1)});
    daemon.stop_limit =
        file.Milliseconds("stop_limit_ms", daemon.stop_limit,
                          {std::chrono::milliseconds(100), std::chrono::minutes(5)});
  }));
  return settings;
}

}  // namespace wagtail
