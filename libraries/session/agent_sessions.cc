#include "session/agent_sessions.h"

#include <kj/debug.h>

#include <algorithm>
#include <utility>

#include "logging/logging.h"
#include "session/session_codec.h"

namespace wagtail::leased {

/// One agent's session; destroyed when its connection is gone.
class agent_sessions::session_server final : public session_wire::Session::Server {
 public:
  session_server(std::shared_ptr<agent_sessions*> owner, session_id session)
      : owner_(std::move(owner)), session_(session) {}
  ~session_server() noexcept(false) {
    if (*owner_ != nullptr) {
      (*owner_)->Forget(session_);
    }
  }

  kj::Promise<void> report(ReportContext context) override {
    if (*owner_ == nullptr) {
      return KJ_EXCEPTION(DISCONNECTED, "the entry is stopping");
    }
    auto params = context.getParams();
    (*owner_)->Report(session_, params.getReport(), context.getResults().initReply());
    return kj::READY_NOW;
  }

 private:
  std::shared_ptr<agent_sessions*> owner_;
  session_id session_;
};

class agent_sessions::entry_server final : public session_wire::Entry::Server {
 public:
  explicit entry_server(std::shared_ptr<agent_sessions*> owner) : owner_(std::move(owner)) {}

  kj::Promise<void> join(JoinContext context) override {
    if (*owner_ == nullptr) {
      return KJ_EXCEPTION(DISCONNECTED, "the entry is stopping");
    }
    auto params = context.getParams();
    session_id session = (*owner_)->Join(Read(params.getHello()), params.getAgent());
    context.getResults().setSession(kj::heap<session_server>(owner_, session));
    return kj::READY_NOW;
  }

 private:
  std::shared_ptr<agent_sessions*> owner_;
};

agent_sessions::agent_sessions(event_loop& loop, hooks hooks)
    : loop_(loop), hooks_(std::move(hooks)), self_(std::make_shared<agent_sessions*>(this)) {}

agent_sessions::~agent_sessions() { *self_ = nullptr; }

session_wire::Entry::Client agent_sessions::Bootstrap() { return kj::heap<entry_server>(self_); }

session_id agent_sessions::Join(const agent_identity& identity, session_wire::Agent::Client agent) {
  // The agent has given up its former connection, which this side may not have noticed yet.
  std::vector<session_id> former;
  for (const auto& [number, open] : sessions_) {
    if (open.identity.address == identity.address) {
      former.push_back(number);
    }
  }
  for (session_id number : former) {
    Close(number);
  }
  session_id number = next_session_++;
  sessions_.emplace(number, session{.identity = identity, .agent = kj::mv(agent)});
  hooks_.opened(number, identity);
  return number;
}

void agent_sessions::Report(session_id number, session_wire::Report::Reader report,
                            session_wire::Reply::Builder reply) {
  if (!sessions_.contains(number)) {
    // Vouching for the runs of a session that was given up would be wrong.
    kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "the session was closed"));
  }
  hooks_.reported(number, Read(report.getLoad()));
  for (auto result : report.getResults()) {
    hooks_.result(Read(result, number));
  }
  if (report.hasPlan()) {
    hooks_.newer_plan(Read(report.getPlan()));
  }
  for (const std::string& address : Read(report.getOtherEntries())) {
    hooks_.heard_of_entry(address);
  }
  const operating_plan& plan = hooks_.plan();
  reply.setPlanRevision(plan.revision);
  if (plan.revision > report.getPlanRevision()) {
    Write(plan, reply.initPlan());
  }
  std::vector<std::string> entries = hooks_.entries();
  auto open = sessions_.find(number);
  if (open != sessions_.end() && open->second.told_entries != entries) {
    Write(entries, reply.initOtherEntries(static_cast<unsigned>(entries.size())));
    open->second.told_entries = std::move(entries);
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

void agent_sessions::Withdraw(session_id number, uint64_t order) {
  auto found = sessions_.find(number);
  if (found != sessions_.end()) {
    pending_.insert(number);
    found->second.stops.push_back(order);
  }
}

void agent_sessions::Flush() {
  for (session_id number : std::exchange(pending_, {})) {
    auto found = sessions_.find(number);
    if (found == sessions_.end()) {
      continue;
    }
    session& open = found->second;
    auto request = open.agent.orderRequest();
    auto jobs = request.initJobs(static_cast<unsigned>(open.orders.size()));
    for (unsigned index = 0; index < jobs.size(); ++index) {
      Write(open.orders[index], jobs[index]);
    }
    auto stops = request.initStops(static_cast<unsigned>(open.stops.size()));
    for (unsigned index = 0; index < stops.size(); ++index) {
      stops.set(index, open.stops[index]);
    }
    open.orders.clear();
    open.stops.clear();
    loop_.Detach(request.send().ignoreResult(), [this, number](kj::Exception&& error) {
      LogFact(log_level::kWarning, "order_message_failed",
              {{"session", number}, {"error", error.getDescription().cStr()}});
      Close(number);
    });
  }
}

void agent_sessions::SendPlan(const operating_plan& plan) {
  for (auto& [number, open] : sessions_) {
    auto request = open.agent.orderRequest();
    Write(plan, request.initPlan());
    // A failure shows in the session's end.
    loop_.Detach(request.send().ignoreResult(), [](kj::Exception&& /*error*/) {});
  }
}

void agent_sessions::Close(session_id session) { Forget(session); }

void agent_sessions::Forget(session_id session) {
  if (sessions_.erase(session) > 0) {
    hooks_.closed(session);
  }
}

}  // namespace wagtail::leased
