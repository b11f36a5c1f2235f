#pragma once

#include "metrics/metrics_registry.h"
#include "scheduler/session_protocol.h"

namespace wagtail::leased {

/// @return this program's build, as sent to its peers
peer_build OwnBuild();

/// Adds wagtail_build_info, which is always 1, with the labels version, commit and protocol.
void AddBuildMetric(metrics_registry& registry);

}  // namespace wagtail::leased
