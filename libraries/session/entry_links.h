#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rpc/event_loop.h"
#include "rpc/message_stream.h"
#include "scheduler/scheduler_events.h"
#include "session/freed_capacity.h"
#include "session/link_limits.h"
#include "session/reconnect_backoff.h"
#include "session/session.capnp.h"

namespace wagtail::leased {

struct entry_links_options {
  /// Limits on the sessions that the agent keeps, out of all known entries. Each agent ranks the
  /// entries in its own order, so that every entry gets about the same number of agents.
  link_limits limits{};
  /// An entry counts as idle once it has sent no order for this long.
  duration idle_after = std::chrono::seconds(5);
  /// Longest interval between reports while orders of the entry are unfinished.
  duration busy_report_interval = std::chrono::milliseconds(120);
  /// Longest interval between reports otherwise.
  duration idle_report_interval = std::chrono::milliseconds(200);
  /// Shortest interval between reports that are sent only because the load changed.
  duration load_report_interval = std::chrono::milliseconds(40);
  /// Change of the free CPU, as a fraction of the capacity, that triggers a report by itself.
  double min_load_change = 0.15;
  /// Offers of freed capacity to the entry with the most urgent waiting job.
  freed_capacity_options freed{};
  /// A surplus session stays open at least this long after its entry was asked to send no more
  /// orders.
  duration retire_delay = std::chrono::milliseconds(500);
  /// Connect timeouts and reconnect delays.
  reconnect_backoff_options reconnect{};
  /// A session that is not open this long after the start of the attempt is tried again.
  duration join_timeout = std::chrono::milliseconds(700);
  /// A link is closed after this long without an answer.
  duration heartbeat_timeout = std::chrono::milliseconds(600);
  /// Longest interval between reports of the connected entries to the other entries.
  duration entry_list_interval = std::chrono::seconds(2);
  /// An address is dropped this long after it was last reported.
  duration entry_expiry = std::chrono::seconds(60);
};

/// Agent side of the sessions: one connection to each of the preferred entries. All methods and
/// hooks run on the event loop's thread.
class entry_links {
 public:
  struct hooks {
    std::function<instant()> now;
    std::function<void(session_id, instant sent)> session_opened;
    std::function<void(session_id, instant sent)> session_lease_renewed;
    std::function<void(session_id)> session_closed;
    std::function<void(run_order)> order;
    std::function<void(session_id, uint64_t order)> withdraw;
    std::function<void()> after_message;
    std::function<target_status()> load;
    std::function<bool(session_id)> busy;  ///< whether the session has unfinished orders
    std::function<bool()> settled;
    std::function<const operating_plan&()> plan;
    /// Receives a plan and the address of the entry that sent it.
    std::function<void(operating_plan, const std::string& entry)> newer_plan;
  };

  entry_links(event_loop& loop, agent_identity self, entry_links_options options, hooks hooks);
  ~entry_links();

  /// Adds an entry, or renews the expiry of a known one.
  /// @param address IP:PORT
  void AddEntry(const std::string& address);
  /// Queues a result for the session's next report.
  void AddResult(const run_result& result);
  /// Queues a crash for the next report of every open session: its task may come again by way of
  /// any entry.
  void AddCrash(const task_crash& crash);
  /// Sends due reports (results, crashes, changed load, heartbeats) and opens missing connections.
  /// Must be called after each batch of events and every few milliseconds.
  void Flush();
  /// @return entries with an open session
  std::vector<std::string> ConnectedEntries() const;
  /// @return number of copies of the plan sent to entries so far
  uint64_t plan_copies() const { return plan_copies_; }

 private:
  struct link;

  std::vector<link*> LinksByRank();
  void MaintainLinks(instant now);
  void Retire(link& surplus, instant now);
  bool SendsOrders(const link& entry, instant now) const;
  bool IsReportDue(const link& entry, const target_status& load, instant now) const;

  /// @return for callbacks of this connection attempt: a function that returns the link, or null
  /// once the link has a newer attempt or is gone
  std::function<link*()> LinkOfAttempt(const link& entry) const;
  void Connect(link& entry);
  void OnConnected(link& entry, kj::Own<kj::AsyncIoStream> connection);
  /// Disconnects an entry that has no protocol version in common with this agent.
  bool CanTalkTo(link& entry, const peer_build& build);
  void OnSessionOpened(link& entry, uint64_t known_plan_revision, const peer_build& build);
  void Disconnect(link& entry, const std::string& why);
  void SendReport(link& entry, const target_status& load, instant now);
  void OnMessage(link& entry, session_wire::ToAgent::Reader message);
  void ProcessOrders(link& entry, session_wire::ToAgent::Reader message);

  event_loop& loop_;
  agent_identity self_;
  entry_links_options options_;
  hooks hooks_;
  freed_capacity freed_;
  std::map<std::string, std::unique_ptr<link>> links_;
  session_id next_session_ = 1;
  uint64_t plan_copies_ = 0;             ///< sent to entries
  std::shared_ptr<entry_links*> alive_;  ///< points to null after destruction; held by callbacks
};

}  // namespace wagtail::leased
