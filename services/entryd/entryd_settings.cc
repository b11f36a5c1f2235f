#include "services/entryd/entryd_settings.h"

#include "base/try.h"
#include "configuration/configuration_text.h"
#include "settings/settings_text.h"

namespace wagtail {

namespace {

constexpr uint64_t kMaxPort = 65535;
constexpr size_t kMinKeyBytes = 16;

}  // namespace

absl::StatusOr<entryd_settings> ReadEntrydSettings(const std::string& path) {
  entryd_settings settings;
  entry_daemon_options& daemon = settings.daemon;
  TRY(ReadSettingsFile(path, [&settings, &daemon](object_reader& file) {
    daemon.name = file.RequiredText("name", NameRule());
    daemon.failure_domain = file.Text("failure_domain", "unnamed", NameRule());
    daemon.http_address = file.Text("http_address", daemon.http_address);
    daemon.http_port = static_cast<uint16_t>(file.Unsigned("http_port", 0, {0, kMaxPort}));
    daemon.rpc_address = file.Text("rpc_address", daemon.rpc_address);
    daemon.rpc_port = static_cast<uint16_t>(file.Unsigned("rpc_port", 0, {0, kMaxPort}));
    daemon.cluster_key =
        file.RequiredSecret("cluster_key", {.least_bytes = kMinKeyBytes, .allowed = "a text"});
    daemon.bootstrap_token_digest = file.Text("bootstrap_token_sha256", "");
    settings.table_url = file.RequiredText("table_url");
    daemon.table_interval =
        file.Milliseconds("table_interval_ms", daemon.table_interval,
                          {std::chrono::milliseconds(50), std::chrono::seconds(1)});
    daemon.stop_limit =
        file.Milliseconds("stop_limit_ms", daemon.stop_limit,
                          {std::chrono::milliseconds(100), std::chrono::minutes(5)});
    job_table_options& jobs = daemon.dispatcher.jobs;
    jobs.id_life = file.Milliseconds("id_life_ms", jobs.id_life,
                                     {std::chrono::seconds(1), std::chrono::hours(1)});
    jobs.max_jobs = file.Unsigned("max_jobs", jobs.max_jobs, {1, 10'000'000});
    jobs.max_answer_bytes =
        file.Unsigned("max_answer_bytes", jobs.max_answer_bytes, {1 << 20, 16ULL << 30});
    daemon.dispatcher.max_waiting_tasks =
        file.Unsigned("max_waiting_tasks", daemon.dispatcher.max_waiting_tasks, {1, 10'000'000});
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
