#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "entry/entry_context.h"
#include "entry/job_body.h"
#include "http/http_message.h"

namespace wagtail {

/// Receives the answer to a request, exactly once, on the loop's thread.
using respond_hook = std::function<void(http_response)>;

/// A submission whose caller and id have been checked.
struct checked_submission {
  job_id id;
  std::string id_text;
  std::string raw_body;  ///< as received; a resubmission must be the same byte for byte
  job_body body;
};

/// Takes jobs to the entry that owns them: this one, another one, or, when that can't be reached,
/// to a recovery. Lives on the loop's thread.
class job_service {
 public:
  explicit job_service(entry_context& context) : context_(context) {}

  /// A caller's submission, whoever minted its id.
  void Submit(checked_submission submission, const respond_hook& respond);
  /// A submission that another entry forwarded: only answered by the owner.
  void SubmitOwned(checked_submission submission, const respond_hook& respond);
  void Cancel(const job_id& id, const std::string& id_text, const respond_hook& respond);
  void CancelOwned(const job_id& id, const respond_hook& respond);

 private:
  /// Charges a new job to its team's quota.
  /// @param respond answered if the quota refuses; the job is then not remembered
  /// @return the quota to give back to; empty if refused
  std::optional<std::shared_ptr<team_quota>> Admit(const checked_submission& submission,
                                                   uint32_t tasks, const respond_hook& respond);
  void Forward(const std::shared_ptr<checked_submission>& submission, const respond_hook& respond);
  void Recover(const checked_submission& submission, respond_hook respond);
  recovery_targets PlacesOf(const checked_submission& submission) const;

  entry_context& context_;
};

}  // namespace wagtail
