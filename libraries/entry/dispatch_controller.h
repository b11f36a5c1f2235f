#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"
#include "entry/target_link.h"
#include "membership/target_row.h"
#include "rpc/event_loop.h"

namespace wagtail {

struct dispatch_controller_options {
  dispatcher_options dispatcher;
  std::string cluster_key;
  entry_incarnation self;
  std::string self_name;
  duration tick_interval = std::chrono::milliseconds(100);
};

/// Status of one linked target, for operators and metrics.
struct target_status {
  target_row row;
  bool is_up = false;
  target_report report;
  std::optional<duration> heartbeat_age;  ///< empty: none received yet
};

/// Executes the dispatcher's actions over links to the targets' daemons. Used on the loop's thread
/// only.
class dispatch_controller {
 public:
  using policy_hook = std::function<target_policy(const target_row&, const target_report&)>;

  dispatch_controller(event_loop& loop, dispatch_controller_options options,
                      std::unique_ptr<placement> placement, policy_hook policy);

  /// Processes a target row written at this table revision.
  void OnTargetRow(const target_row& row, uint64_t revision);
  /// Processes the removal of a target row.
  void OnTargetErased(const std::string& target);
  /// Applies a changed configuration: updates which targets are admitted.
  void ApplyConfiguration(const configuration& current);

  submit_outcome Submit(job_submission submission, answer_hook hook);
  bool Cancel(const job_key& job);
  void BeginStop();
  void EndAll(std::string_view reason);

  dispatcher& decisions() { return dispatcher_; }
  /// @return the link to the target, or nullptr
  target_link* LinkTo(const std::string& target);
  std::vector<target_status> Targets() const;
  uint64_t UptimeMs() const;
  /// @return whether an id minted at this uptime of this entry has expired
  bool IsExpired(uint64_t minted_uptime_ms) const;

 private:
  struct linked_target {
    target_row row;
    uint64_t revision = 0;
    std::unique_ptr<target_link> link;
  };

  void AddTarget(const target_row& row, uint64_t revision);
  target_link_hooks HooksFor(const target_row& row);
  void Drop(linked_target& target);
  void ExecuteActions();
  void Tick();

  event_loop& loop_;
  dispatch_controller_options options_;
  policy_hook policy_;
  instant started_ = MonotonicNow();
  dispatcher dispatcher_;
  configuration configuration_;
  std::map<std::string, linked_target> targets_;
  bool executing_actions_ = false;
  std::optional<instant> wake_;
};

}  // namespace wagtail
