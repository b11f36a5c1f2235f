#pragma once

#include <kj/async-io.h>

#include <functional>
#include <string>

#include "absl/status/status.h"
#include "rpc/event_loop.h"

namespace wagtail {

/// Receives the listening socket, on the loop's thread.
using listen_hook = std::function<void(kj::Own<kj::ConnectionReceiver>)>;

/// Opens a listening socket; blocks. Not to be called from the loop's thread.
/// @param address IP:PORT; port 0 takes an ephemeral one
/// @return OK once `on_listening` has run, or kUnavailable with the reason
absl::Status ListenAt(event_loop& loop, const std::string& address,
                      const listen_hook& on_listening);

}  // namespace wagtail
