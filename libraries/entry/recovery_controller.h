#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "dispatch/recovery.h"
#include "jobs/job.h"
#include "rpc/event_loop.h"

namespace wagtail {

/// A job resubmitted by its caller after its owner became unreachable.
struct recovery_request {
  job_key key;
  uint64_t minted_uptime_ms = 0;
  uint64_t digest = 0;
  uint32_t task_count = 0;
  recovery_targets targets;
  instant deadline{};
};

struct recovery_result {
  bool different_body = false;
  job_answer answer;
};

/// Runs recoveries: queries every target that may have received the job, repeatedly while a task of
/// it still runs, until there is a final answer. Used on the loop's thread only.
class recovery_controller {
 public:
  /// Fences the job at a target; fails if its daemon can't be reached.
  using fence_hook = std::function<kj::Promise<fence_report>(
      const target_incarnation&, const job_key&, uint64_t minted_uptime_ms)>;
  using result_hook = std::function<void(const recovery_result&)>;

  recovery_controller(event_loop& loop, fence_hook fence);

  void Recover(recovery_request request, result_hook on_result);

 private:
  struct pending_recovery;

  void QueryTargets(const std::shared_ptr<pending_recovery>& pending);
  void QueryTarget(const std::shared_ptr<pending_recovery>& pending,
                   const target_incarnation& target);
  void OnRoundComplete(const std::shared_ptr<pending_recovery>& pending);

  event_loop& loop_;
  fence_hook fence_;
};

}  // namespace wagtail
