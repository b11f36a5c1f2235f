#pragma once

#include "absl/status/status.h"
#include "utilities/wagtailctl/command_context.h"
#include "utilities/wagtailctl/command_line.h"
#include "utilities/wagtailctl/entry_client.h"

namespace wagtail {

/// apply, leave and return: makes a change and, if asked to, waits until it is in force.
absl::Status RunChange(const command_line& line, const time_budget& budget, entry_client& client,
                       command_context& context);

/// wait: asks until `version` or a later one is in force everywhere, telling who is missing.
/// @return OK, or entry_error::kTimedOut naming who is missing
absl::Status WaitInForce(uint64_t version, output_form form, const time_budget& budget,
                         entry_client& client, command_context& context);

}  // namespace wagtail
