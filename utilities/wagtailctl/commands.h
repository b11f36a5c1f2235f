#pragma once

#include "utilities/wagtailctl/command_context.h"
#include "utilities/wagtailctl/command_line.h"

namespace wagtail {

/// Runs one command: results go to `context.out`, progress and errors to `context.err`.
/// @return the exit code
exit_code RunCommand(const command_line& line, command_context& context);

}  // namespace wagtail
