#pragma once

#include <memory>
#include <string>
#include <vector>

#include "ledger/start_ledger.h"
#include "membership/target_row.h"
#include "rpc/event_loop.h"
#include "target/entry_sessions.h"
#include "target/target_gate.h"

namespace wagtail {

struct fake_target_options {
  uint32_t slots = 8;
  uint32_t queue_limit = 2;
  std::string cluster_key;
  duration heartbeat_period = std::chrono::milliseconds(500);
  duration told_run_time = std::chrono::milliseconds(1);  ///< as told with each result
};

/// A target's daemon whose tasks end as soon as they start: real sessions, gate and ledger, no
/// target. Many of them share one loop.
class fake_target {
 public:
  /// @param loop outlives this object, which is made and ended on its thread
  fake_target(event_loop& loop, std::string name, const fake_target_options& options);
  ~fake_target();
  fake_target(const fake_target&) = delete;
  fake_target& operator=(const fake_target&) = delete;

  /// Begins to listen on an ephemeral port of the loopback.
  kj::Promise<void> Listen();
  /// @return the row that announces it; call after Listen() is done
  target_row Row() const;
  const start_ledger_counters& counters() const { return ledger_.counters(); }

 private:
  class rpc_server;

  target_gate_hooks MakeHooks();
  void Pump();
  void Heartbeat();
  target_load Load() const { return {ledger_.running(), ledger_.queued()}; }

  event_loop& loop_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  target_incarnation self_;
  fake_target_options options_;
  start_ledger ledger_;
  entry_sessions sessions_;
  target_gate_hooks hooks_;
  std::shared_ptr<rpc_server> server_;
};

/// The service that every fake target serves.
inline constexpr std::string_view kBenchService = "bench";

}  // namespace wagtail
