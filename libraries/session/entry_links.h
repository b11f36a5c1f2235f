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
#include "session/link_limits.h"
#include "session/reconnect_backoff.h"
#include "session/session.capnp.h"

namespace wagtail::leased {

struct entry_links_options {
  /// Entries that the agent keeps sessions with, of all that it knows. Each agent ranks the entries
  /// in an order of its own, so that every entry is given about the same number of agents.
  link_limits limits{};
  /// An entry that has sent no order for this long is idle.
  duration busy_memory = std::chrono::seconds(5);
  /// A report goes out at least this often while the entry has orders here.
  duration busy_interval = std::chrono::milliseconds(120);
  /// And this often while it has none.
  duration idle_interval = std::chrono::milliseconds(200);
  /// A changed load alone is told at most this often.
  duration load_interval = std::chrono::milliseconds(40);
  /// Part of the capacity by which the free part must have changed to be told on its own.
  double load_step = 0.15;
  /// A session that is one too many stays open at least this long after its entry was told to send
  /// nothing more.
  duration retire_time = std::chrono::milliseconds(500);
  /// How long to wait for connections, and when to try again.
  reconnect_backoff_options dial{};
  /// A session that must be open this long after the first step, or is tried again.
  duration join_limit = std::chrono::milliseconds(700);
  /// A link without an answer for this long is given up.
  duration heartbeat_timeout = std::chrono::milliseconds(600);
  /// Entries with open sessions are named to the others at least this often.
  duration name_entries = std::chrono::seconds(2);
  /// An address that nobody names any more is dropped after this.
  duration forget_after = std::chrono::seconds(60);
};

/// The agent's end of its sessions: one connection to every entry it knows. Everything runs on the
/// event loop's thread.
class entry_links {
 public:
  struct hooks {
    std::function<instant()> now;
    std::function<void(session_id, instant sent)> opened;
    std::function<void(session_id, instant sent)> vouched;
    std::function<void(session_id)> closed;
    std::function<void(run_order)> order;
    std::function<void(session_id, uint64_t order)> withdraw;
    std::function<void()> after_message;
    std::function<target_status()> load;
    std::function<bool(session_id)> busy;  ///< whether orders of the session are unfinished
    std::function<bool()> settled;
    std::function<const operating_plan&()> plan;
    std::function<void(operating_plan)> newer_plan;
  };

  entry_links(event_loop& loop, agent_identity self, entry_links_options options, hooks hooks);
  ~entry_links();

  /// Takes note of an entry.
  /// @param address IP:PORT
  void Know(const std::string& address);
  /// Keeps a result for the session's next report.
  void Result(const run_result& result);
  /// Sends what is due: results, changed load, keep-alives; makes missing connections. To be called
  /// after each batch of events and every few milliseconds.
  void Flush();
  /// @return entries with an open session
  std::vector<std::string> Open() const;

 private:
  struct link;

  std::vector<link*> Ranked();
  void KeepLinks(instant now);
  void Retire(link& surplus, instant now);
  bool SendsOrders(const link& target, instant now) const;
  bool IsDue(const link& target, const target_status& load, instant now) const;

  /// @return for callbacks of this connection: the link, or null once it has another or is gone
  std::function<link*()> WhileCurrent(const link& target) const;
  void Dial(link& target);
  void Connected(link& target, kj::Own<kj::AsyncIoStream> connection);
  void Joined(link& target, uint64_t plan_known);
  void Drop(link& target, const std::string& why);
  void Send(link& target, const target_status& load, instant now);
  void Receive(link& target, session_wire::ToAgent::Reader message);
  void TakeOrders(link& from, session_wire::ToAgent::Reader message);

  event_loop& loop_;
  agent_identity self_;
  entry_links_options options_;
  hooks hooks_;
  std::map<std::string, std::unique_ptr<link>> links_;
  session_id next_session_ = 1;
  std::shared_ptr<entry_links*> alive_;  ///< null once destroyed; held by callbacks
};

}  // namespace wagtail::leased
