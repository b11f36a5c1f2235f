#include "session/own_build.h"

#include "base/build_info.h"
#include "base/version.h"

namespace wagtail::leased {

peer_build OwnBuild() { return {.protocols = kSessionProtocols, .build = BuildDescription()}; }

void AddBuildMetric(metrics_registry& registry) {
  registry.Gauges("wagtail_build_info", "Version, commit and session protocols of the program.")
      .Add({{"version", std::string(kVersion)},
            {"commit", std::string(BuildCommit())},
            {"protocol", ProtocolText(kSessionProtocols)}})
      .Set(1);
}

}  // namespace wagtail::leased
