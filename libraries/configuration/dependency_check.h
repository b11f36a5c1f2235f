#pragma once

#include "configuration/configuration.h"
#include "settings/object_reader.h"

namespace wagtail {

/// Checks references between parts of the text: dependencies exist and form no cycle, teams name
/// services that exist, and no token is used twice.
/// @param checked the parsed values; the text may have other problems
/// @param root receives the problems
void CheckReferences(const configuration& checked, object_reader& root);

}  // namespace wagtail
