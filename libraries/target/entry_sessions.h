#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/identifiers.h"
#include "jobs/task.h"
#include "placement/placement.h"
#include "rpc/event_loop.h"
#include "rpc/wire.capnp.h"

namespace wagtail {

/// Reply of one entry to a heartbeat: its view of the configuration.
struct policy_answer {
  instant sent_at{};      ///< when the heartbeat was sent, not when the answer arrived
  uint64_t version = 0;   ///< table revision of the newest configuration that the entry has read
  bool admitted = false;  ///< neither the target nor its failure domain is leaving
};

/// Sessions of the entries connected to this daemon, with the messages queued for each. Used on
/// the loop's thread only.
class entry_sessions {
 public:
  using load_hook = std::function<target_load()>;

  entry_sessions(event_loop& loop, load_hook load);

  /// Adds a session; replaces an earlier one of the same entry.
  void Add(entry_incarnation entry, wire::EntryListener::Client listener);
  /// Queues a result for the entry that started the task; sent in a batch at the end of the turn.
  /// Dropped if the entry has no session: it queries the task's state after it reconnects.
  void QueueResult(task_result result);
  /// Queues a notice that an accepted task was not started.
  void QueueNotStarted(const task_key& key, refusal reason);

  /// State reported by a heartbeat in addition to the load.
  struct report {
    uint64_t enforced_version = 0;
    bool ready = false;
  };
  /// Drops unresponsive sessions and sends a heartbeat to all others.
  /// @param on_answer called with each answer
  void Heartbeat(const report& report, const std::function<void(const policy_answer&)>& on_answer);
  size_t size() const { return sessions_.size(); }

 private:
  struct refused_task {
    task_key key;
    refusal reason;
  };
  struct session {
    wire::EntryListener::Client listener;
    uint64_t generation = 0;
    instant last_answer{};
    std::vector<task_result> results;
    std::vector<refused_task> not_started;
  };

  void ScheduleFlush();
  void Flush();
  void SendResults(uint64_t entry, session& session);
  void SendNotStarted(uint64_t entry, session& session);
  void Drop(uint64_t entry, uint64_t generation);

  event_loop& loop_;
  load_hook load_;
  std::map<uint64_t, session> sessions_;
  uint64_t next_generation_ = 1;
  bool flush_scheduled_ = false;
};

}  // namespace wagtail
