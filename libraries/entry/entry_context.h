#pragma once

#include <atomic>
#include <string>

#include "admission/team_quota.h"
#include "base/identifiers.h"
#include "entry/configuration_controller.h"
#include "entry/configuration_propagator.h"
#include "entry/dispatch_controller.h"
#include "entry/entry_metrics.h"
#include "entry/entry_view.h"
#include "entry/peer_links.h"
#include "entry/recovery_controller.h"
#include "membership/target_registry.h"
#include "rpc/event_loop.h"
#include "security/job_id_codec.h"
#include "snapshot/snapshot_cell.h"
#include "table/table.h"

namespace wagtail {

/// References to the parts of an entry that request handlers use. The controllers are used on the
/// loop's thread only, the other parts from any thread.
struct entry_context {
  entry_incarnation self;
  std::string rpc_address;  ///< IP:PORT where other entries reach this one
  event_loop& loop;
  table& platform_table;
  job_id_codec& ids;
  entry_metrics& metrics;
  team_quotas& quotas;
  snapshot_cell<entry_view>& view;
  std::atomic<uint64_t>& next_sequence;
  std::atomic<uint64_t>& registry_revision;  ///< target rows are known up to here
  dispatch_controller& dispatch;
  configuration_controller& configuration;
  configuration_propagator& propagator;
  target_registry& targets;
  peer_links& peers;
  recovery_controller& recoveries;
};

}  // namespace wagtail
