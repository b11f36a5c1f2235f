#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "dispatch/recovery.h"
#include "jobs/job.h"
#include "rpc/event_loop.h"

namespace wagtail {

/// A job of another entry that can't be reached, as its caller submits it again.
struct recovery_request {
  job_key key;
  uint64_t minted_uptime_ms = 0;
  uint64_t digest = 0;
  uint32_t task_count = 0;
  recovery_targets places;
  instant deadline{};
};

struct recovery_result {
  bool different_body = false;
  job_answer answer;
};

/// Runs recoveries: asks every place that could have been given the job, again while a task of it
/// still runs, until there is a verdict. Lives on the loop's thread.
class recovery_controller {
 public:
  /// Fences the job at a target; fails when its daemon can't be asked.
  using fence_hook = std::function<kj::Promise<fence_report>(
      const target_incarnation&, const job_key&, uint64_t minted_uptime_ms)>;
  using result_hook = std::function<void(const recovery_result&)>;

  recovery_controller(event_loop& loop, fence_hook fence);

  void Recover(recovery_request request, result_hook on_result);

 private:
  struct run;

  void AskRound(const std::shared_ptr<run>& run);
  void AskOne(const std::shared_ptr<run>& run, const target_incarnation& target);
  void AfterRound(const std::shared_ptr<run>& run);

  event_loop& loop_;
  fence_hook fence_;
};

}  // namespace wagtail
