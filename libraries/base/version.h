#pragma once

#include <string_view>

namespace wagtail {

/// Version of the library and of every program.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace wagtail
