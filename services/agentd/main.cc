#include <memory>

#include "platform/node_main.h"
#include "services/agentd/agent_service.h"

int main(int argc, char** argv) {
  using wagtail::leased::agent_service;
  using wagtail::platform::node_daemon;
  using wagtail::platform::node_settings;
  return wagtail::platform::RunNodeMain(
      argc, argv, "wagtail-agentd", "wagtail-agentd: runs tasks on the target of the same VM",
      [](const node_settings& settings) {
        auto service = std::make_shared<agent_service>(settings);
        return node_daemon{
            .start = [service] { return service->Start(); },
            .reload = [service](const node_settings& changed) { service->Reload(changed); },
            .stop = [service](wagtail::duration limit) { service->Stop(limit); }};
      });
}
