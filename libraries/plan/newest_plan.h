#pragma once

#include "plan/operating_plan.h"

namespace wagtail {

/// The newest plan received by a process from the table or from other processes. Uses no sockets,
/// threads or clocks.
class newest_plan {
 public:
  /// Replaces the current plan if the revision of `plan` is higher. Each process reads the table at
  /// its own revision, so after a start many plans have the same content at different revisions:
  /// forwarding each of them would take messages quadratic in the number of processes.
  /// @return whether the content differs from the previous plan
  bool Offer(operating_plan plan);

  const operating_plan& get() const { return plan_; }

 private:
  operating_plan plan_;
};

}  // namespace wagtail
