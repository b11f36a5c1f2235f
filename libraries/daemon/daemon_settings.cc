#include "daemon/daemon_settings.h"

namespace wagtail {

namespace {

constexpr uint64_t kMaxPort = 65535;
constexpr size_t kMinKeyBytes = 16;

}  // namespace

uint16_t ReadPort(object_reader& file, std::string_view key) {
  return static_cast<uint16_t>(file.Unsigned(key, 0, {0, kMaxPort}));
}

daemon_settings ReadDaemonSettings(object_reader& file) {
  daemon_settings settings;
  listen_settings& listen = settings.listen;
  listen.http_address = file.Text("http_address", listen.http_address);
  listen.http_port = ReadPort(file, "http_port");
  listen.rpc_address = file.Text("rpc_address", listen.rpc_address);
  listen.rpc_port = ReadPort(file, "rpc_port");
  settings.cluster_key =
      file.RequiredSecret("cluster_key", {.min_bytes = kMinKeyBytes, .allowed = "a text"});
  settings.table_url = file.RequiredText("table_url");
  settings.logging.format =
      file.Choice("log_format", log_format::kKeyValue,
                  {{"key_value", log_format::kKeyValue}, {"json", log_format::kJson}});
  settings.logging.level = file.Choice("log_level", log_level::kInfo,
                                       {{"debug", log_level::kDebug},
                                        {"info", log_level::kInfo},
                                        {"warning", log_level::kWarning},
                                        {"error", log_level::kError}});
  return settings;
}

}  // namespace wagtail
