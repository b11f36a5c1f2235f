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

#include "rpc/event_loop.h"
#include "rpc/message_stream.h"
#include "scheduler/scheduler_events.h"
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
    std::function<const std::vector<std::string>&()> entries;  ///< addresses of entries known here
    std::function<void(const std::string&)> entry_reported;    ///< an agent has a session with it
  };

  agent_sessions(event_loop& loop, hooks hooks);
  ~agent_sessions();

  /// Takes an agent's connection; the session opens with its greeting.
  void Accept(kj::Own<kj::AsyncIoStream> connection);
  /// Sends orders when Flush is called next.
  void Order(order_batch batch);
  /// Takes an order back when Flush is called next.
  void Withdraw(session_id session, uint64_t order);
  /// Sends what is due: orders, stops, and that reports were taken. To be called after
  /// `after_message`, once for all messages of a turn.
  void Flush();
  /// Ends a session from this side; the closed hook runs.
  void Close(session_id session);
  size_t size() const { return sessions_.size(); }

 private:
  struct session {
    agent_identity identity{};  ///< empty before the greeting
    std::shared_ptr<message_stream> stream{};
    std::vector<order_batch> orders{};
    std::vector<uint64_t> stops{};
    int64_t report_sent = 0;    ///< of the newest report
    uint64_t plan_known = 0;    ///< revision that the agent is known to have
    unsigned told_entries = 0;  ///< number of the list last sent, see entries_number_
    bool is_open = false;
    bool has_reported = false;  ///< so that it is known which plan the agent has
  };

  void Take(session_id number, session_wire::ToEntry::Reader message);
  void Greet(session_id number, const agent_identity& identity);
  void Report(session_id number, session_wire::Report::Reader report);
  void Send(session& to);

  event_loop& loop_;
  hooks hooks_;
  std::map<session_id, session> sessions_;
  std::set<session_id> pending_;
  session_id next_session_ = 1;
  std::vector<std::string> entries_;  ///< as last asked for
  unsigned entries_number_ = 1;       ///< raised with each change of that list
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< for timers that outlive this
};

}  // namespace wagtail::leased
