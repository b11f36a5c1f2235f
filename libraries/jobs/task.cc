#include "jobs/task.h"

namespace wagtail {

std::string_view ToString(refusal reason) {
  switch (reason) {
    case refusal::kNone:
      return "none";
    case refusal::kFull:
      return "full";
    case refusal::kLeaving:
      return "leaving";
    case refusal::kStale:
      return "stale";
    case refusal::kFenced:
      return "fenced";
    case refusal::kExpired:
      return "expired";
    case refusal::kWrongIncarnation:
      return "wrong_incarnation";
    case refusal::kTooNew:
      return "too_new";
    case refusal::kStopping:
      return "stopping";
    case refusal::kLedgerFull:
      return "ledger_full";
    case refusal::kAlreadyKnown:
      return "already_known";
    case refusal::kWithdrawn:
      return "withdrawn";
  }
  return "unknown";
}

}  // namespace wagtail
