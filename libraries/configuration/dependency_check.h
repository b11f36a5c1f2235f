#pragma once

#include "configuration/configuration.h"
#include "settings/object_reader.h"

namespace wagtail {

/// Checks what one entry of the text says about others: dependencies exist and form no cycle, teams
/// name services that exist, and no token is given out twice.
/// @param checked what was read, also from a text with other problems
/// @param root takes the problems
void CheckReferences(const configuration& checked, object_reader& root);

}  // namespace wagtail
