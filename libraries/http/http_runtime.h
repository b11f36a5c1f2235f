#pragma once

#include <string>
#include <string_view>

/// @file
/// Process-wide set-up of ulfius, shared by its client and its server.

namespace wagtail {

/// Initialises ulfius once per process, ignores SIGPIPE, which a peer that closes early would
/// raise, and turns proxies of the environment off. Safe to call from several threads, any number
/// of times; best called first before a program starts its threads, as it changes the environment.
void InitialiseHttpOnce();

/// @return `text` with ASCII letters in lower case
std::string LowerCase(std::string_view text);

}  // namespace wagtail
