#pragma once

#include <cstdint>
#include <string_view>

namespace wagtail {

/// Connects to a port of 127.0.0.1, sends bytes and ends the sending side, then reads until the
/// peer closes or nothing comes for a while.
/// @return whether the peer took the connection
bool SendRawBytes(uint16_t port, std::string_view bytes);

}  // namespace wagtail
