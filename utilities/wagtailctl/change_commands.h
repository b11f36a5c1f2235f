#pragma once

#include "absl/status/status.h"
#include "utilities/wagtailctl/command_context.h"
#include "utilities/wagtailctl/command_line.h"
#include "utilities/wagtailctl/entry_client.h"

namespace wagtail {

/// Runs apply, leave and return: submits a change and, if requested, waits until it is in force.
absl::Status RunChange(const command_line& line, const time_budget& budget, entry_client& client,
                       command_context& context);

/// Runs wait: polls until `version` or a later one is in force everywhere, and prints which
/// processes have not confirmed it.
/// @return OK, or entry_error::kTimedOut with the names of the missing processes
absl::Status WaitInForce(uint64_t version, output_form form, const time_budget& budget,
                         entry_client& client, command_context& context);

}  // namespace wagtail
