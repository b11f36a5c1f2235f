#pragma once

#include <string>
#include <string_view>

/// @file
/// Process-wide set-up of ulfius, shared by its client and its server.

namespace wagtail {

/// Initialises ulfius once per process, ignores SIGPIPE, which a peer that closes early would
/// raise, and disables proxies set in the environment. Idempotent and thread-safe; call it before
/// the program starts its threads, as it changes the environment.
void InitialiseHttpOnce();

/// @return `text` with ASCII letters in lower case
std::string LowerCase(std::string_view text);

}  // namespace wagtail
