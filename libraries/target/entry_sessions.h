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

/// What one entry told about the configuration.
struct policy_answer {
  instant asked_at{};     ///< when the heartbeat was sent, not when the answer came
  uint64_t version = 0;   ///< table revision of the newest configuration that the entry knows
  bool admitted = false;  ///< neither the target nor its failure domain is leaving
};

/// The entries that are linked to this daemon, and what is to be told to each. Lives on the loop's
/// thread.
class entry_sessions {
 public:
  using load_hook = std::function<target_load()>;

  entry_sessions(event_loop& loop, load_hook load);

  /// The newest session of an entry takes the place of an earlier one.
  void Add(entry_incarnation entry, wire::EntryListener::Client listener);
  /// Queues a result for the entry that started the task; told with others at the end of the turn.
  /// An entry without a session asks again when it comes back.
  void QueueResult(task_result result);
  /// Queues the news that an accepted task was not started.
  void QueueNotStarted(const task_key& key, refusal reason);

  /// What a heartbeat reports besides the load.
  struct report {
    uint64_t enforced_version = 0;
    bool ready = false;
  };
  /// Sends a heartbeat to every entry; answers reach `on_answer`.
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
