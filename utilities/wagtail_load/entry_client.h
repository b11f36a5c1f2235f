#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "http/http_client.h"
#include "wagtail_load/job_record.h"
#include "wagtail_load/load_scenario.h"
#include "wagtail_load/schedule.h"

namespace wagtail {

/// Makes one HTTP call; replaced by a fake in tests.
using call_hook = std::function<absl::StatusOr<http_response>(const http_call&)>;

/// What a caller learnt of one submission.
struct submission_answer {
  submission_outcome outcome = submission_outcome::kNoAnswer;
  std::string reason;  ///< empty when complete
  std::string body;    ///< of a complete answer
};

/// Speaks the HTTP API of the entries. Safe from several threads when the hook is.
class entry_client {
 public:
  /// @param plan must outlive the client
  entry_client(const load_scenario& plan, call_hook call);

  /// Asks an entry to mint job ids.
  /// @return `count` ids, or load_error::kUnexpectedAnswer
  absl::StatusOr<std::vector<std::string>> MintIds(std::string_view entry, uint32_t count) const;

  /// Submits a job and waits for its final answer.
  /// @param id a minted id or an idempotency key, as the scenario says
  submission_answer Submit(std::string_view entry, std::string_view id,
                           const planned_job& job) const;

  /// Asks for a change of a failure domain.
  /// @param change_id the same for repetitions of one change
  absl::StatusOr<http_response> Change(std::string_view entry, std::string_view change_id,
                                       const operator_action& action) const;

 private:
  http_call Call(std::string method, std::string_view entry, std::string_view path,
                 const secret& token) const;
  std::string BodyOf(const planned_job& job) const;

  const load_scenario& plan_;
  call_hook call_;
};

/// Judges the answer to a submission.
/// @param tasks number of tasks of the job
/// @return the outcome; kBadAnswer when the answer breaks the API, for instance a partial one
submission_answer JudgeAnswer(const http_response& answer, size_t tasks);

}  // namespace wagtail
