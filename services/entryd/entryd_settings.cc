#include "services/entryd/entryd_settings.h"

#include "base/try.h"
#include "configuration/configuration_text.h"
#include "daemon/daemon_settings.h"
#include "settings/settings_text.h"

namespace wagtail {

absl::StatusOr<entryd_settings> ReadEntrydSettings(const std::string& path) {
  entryd_settings settings;
  entry_daemon_options& daemon = settings.daemon;
  TRY(ReadSettingsFile(path, [&settings, &daemon](object_reader& file) {
    daemon.name = file.RequiredText("name", NameRule());
    daemon.failure_domain = file.Text("failure_domain", "unnamed", NameRule());
    daemon_settings common = ReadDaemonSettings(file);
    daemon.http_address = common.listen.http_address;
    daemon.http_port = common.listen.http_port;
    daemon.rpc_address = common.listen.rpc_address;
    daemon.rpc_port = common.listen.rpc_port;
    daemon.cluster_key = common.cluster_key;
    settings.table_url = common.table_url;
    settings.logging = common.logging;
    daemon.bootstrap_token_digest = file.Text("bootstrap_token_sha256", "");
    daemon.table_interval =
        file.Milliseconds("table_interval_ms", daemon.table_interval,
                          {std::chrono::milliseconds(50), std::chrono::seconds(1)});
    daemon.stop_limit =
        file.Milliseconds("stop_limit_ms", daemon.stop_limit,
                          {std::chrono::milliseconds(100), std::chrono::minutes(5)});
    job_table_options& jobs = daemon.dispatcher.jobs;
    jobs.id_lifetime = file.Milliseconds("id_life_ms", jobs.id_lifetime,
                                         {std::chrono::seconds(1), std::chrono::hours(1)});
    jobs.max_jobs = file.Unsigned("max_jobs", jobs.max_jobs, {1, 10'000'000});
    jobs.max_answer_bytes =
        file.Unsigned("max_answer_bytes", jobs.max_answer_bytes, {1 << 20, 16ULL << 30});
    daemon.dispatcher.waiting.max_tasks =
        file.Unsigned("max_waiting_tasks", daemon.dispatcher.waiting.max_tasks, {1, 10'000'000});
  }));
  return settings;
}

}  // namespace wagtail
