#pragma once

#include <string>

namespace review {

/// @param address IP:PORT
/// @return a listening socket, or -1
int ListenAt(const std::string& address, int backlog);

/// @param address IP:PORT
/// @return a connected socket, or -1
int ConnectTo(const std::string& address);

}  // namespace review
