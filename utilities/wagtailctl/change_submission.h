#pragma once

#include "absl/status/statusor.h"
#include "configuration/configuration_change.h"
#include "utilities/wagtailctl/command_context.h"
#include "utilities/wagtailctl/entry_client.h"

namespace wagtail {

/// Submits a change and settles its outcome. After a lost answer, an earlier attempt may still take
/// effect, so only two results are conclusive: a commit of this change id, or a conflict, since the
/// base version is then superseded for good. Until then the change is retried under the same id,
/// which is idempotent.
/// @param change with a unique id
/// @param budget time for all attempts
/// @return the committed change, or entry_error; kUnknown if the budget ran out first
absl::StatusOr<committed_change> SubmitAndSettle(const configuration_change& change,
                                                 const time_budget& budget, entry_client& client,
                                                 command_context& context);

}  // namespace wagtail
