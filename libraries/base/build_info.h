#pragma once

#include <string>
#include <string_view>

namespace wagtail {

/// Commit that the program was built from, abbreviated, or "unknown" outside of a repository.
std::string_view BuildCommit();

/// @return version and commit, separated by a space
std::string BuildDescription();

}  // namespace wagtail
