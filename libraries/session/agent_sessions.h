#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plan/peer_plan.h"
#include "rpc/event_loop.h"
#include "rpc/message_stream.h"
#include "scheduler/scheduler_events.h"
#include "scheduler/waiting_priority.h"
#include "session/session.capnp.h"

namespace wagtail::leased {

/// Entry side of the sessions with agents. All methods and hooks run on the event loop's thread.
class agent_sessions {
 public:
  struct hooks {
    std::function<instant()> now;
    std::function<void(session_id, const agent_identity&)> session_opened;
    std::function<void(session_id, const session_report&)> report_received;
    /// Called for the crashes of a report before its results.
    std::function<void(const task_crash&)> task_crashed;
    std::function<void(const run_result&)> result;
    std::function<void(session_id)> session_closed;
    std::function<void()> after_message;  ///< all hooks for a message have been called
    std::function<const operating_plan&()> plan;
    /// Receives a plan and the name of the agent that sent it.
    std::function<void(operating_plan, const std::string& agent)> newer_plan;
    /// Highest priority of the jobs that wait for the service of the session's target.
    std::function<waiting_priority(session_id)> waiting;
    std::function<const std::vector<std::string>&()> entries;  ///< addresses of known entries
    /// An agent has a session with the entry at this address.
    std::function<void(const std::string&)> entry_reported;
  };

  /// @param self this build, sent to each agent
  agent_sessions(event_loop& loop, peer_build self, hooks hooks);
  ~agent_sessions();

  /// Accepts an agent's connection; the session opens with the agent's hello.
  void Accept(kj::Own<kj::AsyncIoStream> connection);
  /// Queues orders for the next Flush.
  void Order(order_batch batch);
  /// Queues the withdrawal of an order for the next Flush.
  void Withdraw(session_id session, uint64_t order);
  /// Sends queued orders and stops, and acknowledges reports. Must be called after `after_message`,
  /// once for all messages of a turn.
  void Flush();
  /// Tells all agents, now and when they connect, that this entry is about to end, so that each
  /// opens a session with another entry.
  void AnnounceDraining();
  /// Closes a session from the entry side and calls `session_closed`.
  void Close(session_id session);
  size_t size() const { return sessions_.size(); }
  /// @return number of copies of the plan sent to agents so far
  uint64_t plan_copies() const { return plan_copies_; }

 private:
  struct session {
    agent_identity identity{};  ///< empty before the hello
    std::shared_ptr<message_stream> stream{};
    std::vector<order_batch> orders{};
    std::vector<uint64_t> stops{};
    int64_t last_report_sent = 0;       ///< send time of the newest report
    peer_plan plan{0};                  ///< what the agent is known to have
    unsigned sent_entries_version = 0;  ///< entries_version_ of the list last sent
    bool is_open = false;
    bool was_greeted = false;   ///< this entry's build was sent
    bool has_reported = false;  ///< `plan` is valid
  };

  void OnMessage(session_id id, session_wire::ToEntry::Reader message);
  void OnHello(session_id id, const agent_identity& identity);
  void OpenSession(session_id id, const agent_identity& identity);
  void OnReport(session_id id, session_wire::Report::Reader report);
  void Send(session_id id, session& agent);

  event_loop& loop_;
  peer_build self_;
  hooks hooks_;
  bool draining_ = false;
  std::map<session_id, session> sessions_;
  std::set<session_id> pending_;
  session_id next_session_ = 1;
  uint64_t plan_copies_ = 0;          ///< sent to agents
  std::vector<std::string> entries_;  ///< as last returned by the `entries` hook
  unsigned entries_version_ = 1;      ///< incremented when entries_ changes
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< for timers that outlive this
};

}  // namespace wagtail::leased
