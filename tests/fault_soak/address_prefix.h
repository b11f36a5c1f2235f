#pragma once

#include <cstdint>
#include <string>

namespace wagtail::leased {

/// Port of entries and agents for sessions, in runs on separate loopback addresses.
inline constexpr uint16_t kSessionPort = 7720;

/// Reserves addresses that no other run on this computer uses, until the process exits.
/// @return their common prefix, "127.N."
std::string ReserveAddressPrefix();

}  // namespace wagtail::leased
