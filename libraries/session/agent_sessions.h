#pragma once

#include <capnp/capability.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "board/board_events.h"
#include "rpc/event_loop.h"
#include "session/session.capnp.h"

namespace wagtail::leased {

/// The entry's end of its sessions with agents. Everything runs on the event loop's thread.
class agent_sessions {
 public:
  struct hooks {
    std::function<instant()> now;
    std::function<void(session_id, const agent_identity&)> opened;
    std::function<void(session_id, const session_report&)> reported;
    std::function<void(const run_result&)> result;
    std::function<void(session_id)> closed;
    std::function<void()> after_message;  ///< all that a message told has been passed on
    std::function<const operating_plan&()> plan;
    std::function<void(operating_plan)> newer_plan;
    std::function<std::vector<std::string>()> entries;       ///< addresses of entries known here
    std::function<void(const std::string&)> heard_of_entry;  ///< an agent has a session with it
  };

  agent_sessions(event_loop& loop, hooks hooks);
  ~agent_sessions();

  /// @return what each connection of an agent is given
  session_wire::Entry::Client Bootstrap();

  /// Sends orders when Flush is called next.
  void Order(order_batch batch);
  /// Takes an order back when Flush is called next.
  void Withdraw(session_id session, uint64_t order);
  void Flush();
  /// Tells every agent of the plan.
  void SendPlan(const operating_plan& plan);
  /// Ends a session from this side; the closed hook runs.
  void Close(session_id session);
  size_t size() const { return sessions_.size(); }

 private:
  class entry_server;
  class session_server;
  struct session {
    agent_identity identity;
    session_wire::Agent::Client agent;
    std::vector<order_batch> orders{};
    std::vector<uint64_t> stops{};
    std::vector<std::string> told_entries{};  ///< as last sent
  };

  session_id Join(const agent_identity& identity, session_wire::Agent::Client agent);
  void Report(session_id session, session_wire::Report::Reader report,
              session_wire::Reply::Builder reply);
  void Forget(session_id session);

  event_loop& loop_;
  hooks hooks_;
  std::map<session_id, session> sessions_;
  std::set<session_id> pending_;
  session_id next_session_ = 1;
  std::shared_ptr<agent_sessions*> self_;  ///< null once destroyed; held by the servers
};

}  // namespace wagtail::leased
