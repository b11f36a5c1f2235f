#pragma once

#include <kj/async-io.h>

/// @file
/// Buffering that saves system calls and TCP segments on connections with many small messages.

namespace wagtail {

/// Wraps a connection: writes of one turn of the event loop are sent as one, and bytes read beyond
/// the requested size are buffered for the next read.
/// @param inner the connection; a failed write shows up as the end of its input
kj::Own<kj::AsyncIoStream> Batching(kj::Own<kj::AsyncIoStream> inner);

/// Wraps every connection that a receiver accepts in the same way.
kj::Own<kj::ConnectionReceiver> Batching(kj::Own<kj::ConnectionReceiver> inner);

}  // namespace wagtail
