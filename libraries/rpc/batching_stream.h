#pragma once

#include <kj/async-io.h>

/// @file
/// Fewer system calls and TCP segments for connections that carry many small messages.

namespace wagtail {

/// Wraps a connection: what is written in one turn of the event loop leaves in one piece, and what
/// is read beyond the message asked for is kept for the next one.
/// @param inner the connection; a failed write shows as the end of what can be read from it
kj::Own<kj::AsyncIoStream> Batching(kj::Own<kj::AsyncIoStream> inner);

/// Wraps the connections that a receiver accepts in the same way.
kj::Own<kj::ConnectionReceiver> Batching(kj::Own<kj::ConnectionReceiver> inner);

}  // namespace wagtail
