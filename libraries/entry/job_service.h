#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "entry/entry_context.h"
#include "entry/job_body.h"
#include "http/http_message.h"

namespace wagtail {

/// Receives the answer to a request; called exactly once, on the loop's thread.
using respond_hook = std::function<void(http_response)>;

/// A submission with an authenticated caller and a checked id.
struct checked_submission {
  job_id id;
  std::string id_text;
  std::string raw_body;  ///< as received; a resubmission must match byte for byte
  job_body body;
};

/// Routes jobs to the entry that owns them, this one or another; recovers the job if its owner
/// can't be reached. Used on the loop's thread only.
class job_service {
 public:
  explicit job_service(entry_context& context) : context_(context) {}

  /// Processes a caller's submission, whichever entry minted its id.
  void Submit(checked_submission submission, const respond_hook& respond);
  /// Processes a submission owned by this entry, e.g. forwarded by another entry.
  void SubmitOwned(checked_submission submission, const respond_hook& respond);
  void Cancel(const job_id& id, const std::string& id_text, const respond_hook& respond);
  void CancelOwned(const job_id& id, const respond_hook& respond);

 private:
  /// Charges a new job to its team's quota.
  /// @param respond called if the quota refuses; the job is then not stored
  /// @return the charged quota, null if the team has none; empty if refused
  std::optional<std::shared_ptr<team_quota>> Admit(const checked_submission& submission,
                                                   uint32_t tasks, const respond_hook& respond);
  void Forward(const std::shared_ptr<checked_submission>& submission, const respond_hook& respond);
  void Recover(const checked_submission& submission, respond_hook respond);
  recovery_targets PossibleTargetsOf(const checked_submission& submission) const;

  entry_context& context_;
};

}  // namespace wagtail
