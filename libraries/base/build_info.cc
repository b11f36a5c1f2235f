#include "base/build_info.h"

#include "base/version.h"

namespace wagtail {

std::string_view BuildCommit() { return WAGTAIL_BUILD_COMMIT; }

std::string BuildDescription() { return std::string(kVersion) + " " + std::string(BuildCommit()); }

}  // namespace wagtail
