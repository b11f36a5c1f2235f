#include "session/agent_sessions.h"

#include <capnp/message.h>

#include <algorithm>
#include <utility>

#include "base/identifiers.h"
#include "logging/logging.h"
#include "session/session_codec.h"

namespace wagtail::leased {
namespace {

/// A connection on which no hello arrives within this time is closed.
constexpr duration kHelloTimeout = std::chrono::seconds(2);

}  // namespace

agent_sessions::agent_sessions(event_loop& loop, peer_build self, hooks hooks)
    : loop_(loop), self_(std::move(self)), hooks_(std::move(hooks)) {}

agent_sessions::~agent_sessions() {
  for (auto& [id, closing] : sessions_) {
    message_stream::Close(std::move(closing.stream));
  }
}

void agent_sessions::Accept(kj::Own<kj::AsyncIoStream> connection) {
  session_id id = next_session_++;
  session& created = sessions_[id];
  created.stream =
      message_stream::Open(loop_, kj::mv(connection),
                           {.message =
                                [this, id](capnp::MessageReader& message) {
                                  OnMessage(id, message.getRoot<session_wire::ToEntry>());
                                },
                            .ended = [this, id](const std::string& /*why*/) { Close(id); }});
  loop_.After(kHelloTimeout, [this, id, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) {
      return;
    }
    auto found = sessions_.find(id);
    if (found != sessions_.end() && !found->second.is_open) {
      Close(id);
    }
  });
}

void agent_sessions::OnMessage(session_id id, session_wire::ToEntry::Reader message) {
  switch (message.which()) {
    case session_wire::ToEntry::HELLO:
      OnHello(id, Read(message.getHello()));
      return;
    case session_wire::ToEntry::REPORT: {
      auto found = sessions_.find(id);
      if (found == sessions_.end() || !found->second.is_open) {
        Close(id);
        return;
      }
      OnReport(id, message.getReport());
      return;
    }
  }
  // A newer agent sent a kind of message that this entry does not know.
  LogFact(log_level::kDebug, "message_ignored", {{"session", id}});
}

void agent_sessions::OnHello(session_id id, const agent_identity& identity) {
  if (!CommonProtocol(self_.protocols, identity.build.protocols).has_value()) {
    LogFact(log_level::kError, "agent_incompatible",
            {{"agent", identity.name},
             {"build", identity.build.build},
             {"protocol", ProtocolText(identity.build.protocols)},
             {"own_protocol", ProtocolText(self_.protocols)}});
    Close(id);
    return;
  }
  OpenSession(id, identity);
}

void agent_sessions::OpenSession(session_id id, const agent_identity& identity) {
  // The agent has dropped its previous connection, which this side may not have detected yet.
  std::vector<session_id> previous;
  for (const auto& [other, candidate] : sessions_) {
    if (other != id && candidate.identity.address == identity.address) {
      previous.push_back(other);
    }
  }
  for (session_id other : previous) {
    Close(other);
  }
  session& current = sessions_.at(id);
  current.identity = identity;
  current.plan = peer_plan(FractionOf(DigestOf(identity.address + " " + std::to_string(id))));
  current.is_open = true;
  pending_.insert(id);
  hooks_.session_opened(id, identity);
  hooks_.after_message();
}

void agent_sessions::OnReport(session_id id, session_wire::Report::Reader report) {
  // The hooks may close the session.
  const std::string agent = sessions_.at(id).identity.name;
  hooks_.report_received(id, Read(report.getLoad()));
  for (auto crash : report.getCrashes()) {
    hooks_.task_crashed(Read(crash));
  }
  for (auto result : report.getResults()) {
    hooks_.result(Read(result, id));
  }
  if (report.hasPlan() && report.getPlan().getRevision() > hooks_.plan().revision) {
    hooks_.newer_plan(Read(report.getPlan()), agent);
  }
  for (const std::string& address : Read(report.getOtherEntries())) {
    hooks_.entry_reported(address);
  }
  auto found = sessions_.find(id);
  if (found != sessions_.end()) {
    found->second.last_report_sent = report.getSent();
    found->second.has_reported = true;
    found->second.plan.OnPeerHas(report.getPlanRevision());
    pending_.insert(id);
  }
  hooks_.after_message();
}

void agent_sessions::Order(order_batch batch) {
  auto found = sessions_.find(batch.session);
  if (found != sessions_.end()) {
    pending_.insert(batch.session);
    found->second.orders.push_back(std::move(batch));
  }
}

void agent_sessions::Withdraw(session_id id, uint64_t order) {
  auto found = sessions_.find(id);
  if (found != sessions_.end()) {
    pending_.insert(id);
    found->second.stops.push_back(order);
  }
}

void agent_sessions::Flush() {
  if (pending_.empty()) {
    return;
  }
  const std::vector<std::string>& entries = hooks_.entries();
  if (entries != entries_) {
    entries_ = entries;
    ++entries_version_;
  }
  for (session_id id : std::exchange(pending_, {})) {
    auto found = sessions_.find(id);
    if (found != sessions_.end() && found->second.is_open) {
      Send(id, found->second);
    }
  }
}

void agent_sessions::Send(session_id id, session& agent) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<session_wire::ToAgent>();
  out.setReportSent(agent.last_report_sent);
  const operating_plan& plan = hooks_.plan();
  out.setPlanRevision(plan.revision);
  if (agent.has_reported && agent.plan.NeedsCopy(plan.revision, hooks_.now())) {
    Write(plan, out.initPlan());
    agent.plan.OnCopySent(plan.revision);
    ++plan_copies_;
  }
  if (!std::exchange(agent.was_greeted, true)) {
    Write(self_, out.initBuild());
  }
  out.setDraining(draining_);
  out.setWaitingPriority(ToWire(hooks_.waiting(id)));
  if (agent.sent_entries_version != entries_version_) {
    Write(entries_, out.initOtherEntries(static_cast<unsigned>(entries_.size())));
    agent.sent_entries_version = entries_version_;
  }
  if (!agent.orders.empty()) {
    auto jobs = out.initJobs(static_cast<unsigned>(agent.orders.size()));
    for (unsigned index = 0; index < jobs.size(); ++index) {
      Write(agent.orders[index], jobs[index]);
    }
  }
  if (!agent.stops.empty()) {
    auto stops = out.initStops(static_cast<unsigned>(agent.stops.size()));
    for (unsigned index = 0; index < stops.size(); ++index) {
      stops.set(index, agent.stops[index]);
    }
  }
  agent.orders.clear();
  agent.stops.clear();
  agent.stream->Send(message);
}

void agent_sessions::AnnounceDraining() {
  draining_ = true;
  for (const auto& [id, agent] : sessions_) {
    pending_.insert(id);
  }
  Flush();
}

void agent_sessions::Close(session_id id) {
  auto found = sessions_.find(id);
  if (found == sessions_.end()) {
    return;
  }
  bool was_open = found->second.is_open;
  message_stream::Close(std::move(found->second.stream));
  sessions_.erase(found);
  if (was_open) {
    hooks_.session_closed(id);
  }
}

}  // namespace wagtail::leased
