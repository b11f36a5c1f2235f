#pragma once

#include "http/http_message.h"
#include "target/target_daemon.h"

namespace wagtail {

/// Handles the target's announcement and the operators' probes: POST /v1/announce, GET /healthz,
/// /readyz, /metrics.
http_response AnswerTargetdRequest(target_daemon& daemon, const http_request& request);

}  // namespace wagtail
