#pragma once

#include <functional>
#include <string>
#include <vector>

#include "jobs/task.h"
#include "placement/placement.h"
#include "rpc/wire.capnp.h"

namespace wagtail {

/// Callbacks from the RPC server of a target's daemon into the daemon; called on the loop's thread.
struct target_gate_hooks {
  std::function<target_incarnation()> self;
  std::function<void(entry_incarnation, wire::EntryListener::Client)> on_enter;
  std::function<refusal(start_request, uint64_t owner_uptime_ms)> accept;
  std::function<void()> after_batch;
  std::function<std::vector<task_record>(std::span<const start_request>, queued_tasks)> settle;
  std::function<fence_report(const job_key&, uint64_t minted_uptime_ms)> fence;
  std::function<target_load()> load;
};

/// Makes the bootstrap interface of the daemon: it authenticates entries by the cluster key and
/// gives them a session for sending tasks.
/// @param cluster_key shared by all processes of the system
/// @param hooks must outlive the returned client
wire::TargetGate::Client MakeTargetGate(std::string cluster_key, const target_gate_hooks& hooks);

}  // namespace wagtail
