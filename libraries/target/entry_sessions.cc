#include "target/entry_sessions.h"

#include <utility>

#include "rpc/wire_codec.h"

namespace wagtail {

namespace {

// A session that has not answered a heartbeat for this long is dropped; its entry reconnects.
constexpr duration kHeartbeatTimeout = std::chrono::seconds(10);

}  // namespace

entry_sessions::entry_sessions(event_loop& loop, load_hook load)
    : loop_(loop), load_(std::move(load)) {}

void entry_sessions::Add(entry_incarnation entry, wire::EntryListener::Client listener) {
  sessions_.erase(entry.nonce);
  sessions_.emplace(entry.nonce, session{.listener = kj::mv(listener),
                                         .generation = next_generation_++,
                                         .last_answer = MonotonicNow(),
                                         .results = {},
                                         .not_started = {}});
}

void entry_sessions::QueueResult(task_result result) {
  auto found = sessions_.find(result.key.job.owner.nonce);
  if (found == sessions_.end()) {
    return;
  }
  found->second.results.push_back(std::move(result));
  ScheduleFlush();
}

void entry_sessions::QueueNotStarted(const task_key& key, refusal reason) {
  auto found = sessions_.find(key.job.owner.nonce);
  if (found == sessions_.end()) {
    return;
  }
  found->second.not_started.push_back({.key = key, .reason = reason});
  ScheduleFlush();
}

void entry_sessions::ScheduleFlush() {
  if (flush_scheduled_) {
    return;
  }
  flush_scheduled_ = true;
  loop_.Detach(kj::evalLast([this] { Flush(); }));
}

void entry_sessions::Flush() {
  flush_scheduled_ = false;
  for (auto& [entry, session] : sessions_) {
    if (!session.results.empty()) {
      SendResults(entry, session);
    }
    if (!session.not_started.empty()) {
      SendNotStarted(entry, session);
    }
  }
}

void entry_sessions::SendResults(uint64_t entry, session& session) {
  std::vector<task_result> results = std::exchange(session.results, {});
  auto request = session.listener.resultsRequest();
  auto list = request.initResults(static_cast<unsigned>(results.size()));
  for (unsigned index = 0; index < results.size(); ++index) {
    Write(results[index], list[index]);
  }
  Write(load_(), request.initLoad());
  loop_.Detach(request.send().ignoreResult(),
               [this, entry, generation = session.generation](kj::Exception&& /*error*/) {
                 Drop(entry, generation);
               });
}

void entry_sessions::SendNotStarted(uint64_t entry, session& session) {
  std::vector<refused_task> tasks = std::exchange(session.not_started, {});
  auto request = session.listener.givenBackRequest();
  auto list = request.initVerdicts(static_cast<unsigned>(tasks.size()));
  for (unsigned index = 0; index < tasks.size(); ++index) {
    Write(tasks[index].key, tasks[index].reason, list[index]);
  }
  Write(load_(), request.initLoad());
  loop_.Detach(request.send().ignoreResult(),
               [this, entry, generation = session.generation](kj::Exception&& /*error*/) {
                 Drop(entry, generation);
               });
}

void entry_sessions::Heartbeat(const report& report,
                               const std::function<void(const policy_answer&)>& on_answer) {
  instant now = MonotonicNow();
  std::erase_if(sessions_, [now](const auto& item) {
    return now - item.second.last_answer > kHeartbeatTimeout;
  });
  for (auto& [entry, session] : sessions_) {
    auto request = session.listener.heartbeatRequest();
    auto message = request.initReport();
    Write(load_(), message.initLoad());
    message.setEnforcedVersion(report.enforced_version);
    message.setReady(report.ready);
    uint64_t generation = session.generation;
    auto reply =
        request.send().then([this, entry = entry, generation, now, on_answer](auto&& response) {
          auto found = sessions_.find(entry);
          if (found != sessions_.end() && found->second.generation == generation) {
            found->second.last_answer = MonotonicNow();
          }
          auto policy = response.getPolicy();
          on_answer({.sent_at = now,
                     .version = policy.getConfigurationVersion(),
                     .admitted = policy.getAdmitted()});
        });
    loop_.Detach(kj::mv(reply), [this, entry = entry, generation](kj::Exception&& /*error*/) {
      Drop(entry, generation);
    });
  }
}

void entry_sessions::Drop(uint64_t entry, uint64_t generation) {
  auto found = sessions_.find(entry);
  if (found != sessions_.end() && found->second.generation == generation) {
    sessions_.erase(found);
  }
}

}  // namespace wagtail
