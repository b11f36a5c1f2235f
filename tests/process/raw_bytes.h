#pragma once

#include <cstdint>
#include <string_view>

namespace wagtail {

/// Connects to a port of 127.0.0.1, sends bytes and shuts down the sending side, then reads until
/// the peer closes or the read times out.
/// @return whether the peer accepted the connection
bool SendRawBytes(uint16_t port, std::string_view bytes);

}  // namespace wagtail
