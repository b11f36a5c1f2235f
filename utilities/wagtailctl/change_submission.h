#pragma once

#include "absl/status/statusor.h"
#include "configuration/configuration_change.h"
#include "utilities/wagtailctl/command_context.h"
#include "utilities/wagtailctl/entry_client.h"

namespace wagtail {

/// Submits a change and settles its outcome. Once an answer was lost, an earlier attempt may still
/// take effect, so that only these settle it: a commit of this change id, or a conflict, after
/// which the base version is gone for good. The same id is sent again until then, which is
/// idempotent.
/// @param change with an id that no other change has
/// @param budget time for all attempts
/// @return the committed change, or entry_error; kUnknown when the time was not enough to settle it
absl::StatusOr<committed_change> SubmitAndSettle(const configuration_change& change,
                                                 const time_budget& budget, entry_client& client,
                                                 command_context& context);

}  // namespace wagtail
