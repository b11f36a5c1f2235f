#include "session/agent_sessions.h"

#include <capnp/message.h>

#include <algorithm>
#include <utility>

#include "logging/logging.h"
#include "session/session_codec.h"

namespace wagtail::leased {
namespace {

/// A connection without a greeting is closed after this.
constexpr duration kGreetingLimit = std::chrono::seconds(2);

}  // namespace

agent_sessions::agent_sessions(event_loop& loop, hooks hooks)
    : loop_(loop), hooks_(std::move(hooks)) {}

agent_sessions::~agent_sessions() {
  for (auto& [number, open] : sessions_) {
    message_stream::Close(std::move(open.stream));
  }
}

void agent_sessions::Accept(kj::Own<kj::AsyncIoStream> connection) {
  session_id number = next_session_++;
  session& added = sessions_[number];
  added.stream = message_stream::Open(
      loop_, kj::mv(connection),
      {.message =
           [this, number](capnp::MessageReader& message) {
             Take(number, message.getRoot<session_wire::ToEntry>());
           },
       .ended = [this, number](const std::string& /*why*/) { Close(number); }});
  loop_.After(kGreetingLimit, [this, number, alive = std::weak_ptr(alive_)] {
    if (alive.expired()) {
      return;
    }
    auto found = sessions_.find(number);
    if (found != sessions_.end() && !found->second.is_open) {
      Close(number);
    }
  });
}

void agent_sessions::Take(session_id number, session_wire::ToEntry::Reader message) {
  if (message.isHello()) {
    Greet(number, Read(message.getHello()));
    return;
  }
  auto found = sessions_.find(number);
  if (found == sessions_.end() || !found->second.is_open) {
    Close(number);
    return;
  }
  Report(number, message.getReport());
}

void agent_sessions::Greet(session_id number, const agent_identity& identity) {
  // The agent has given up its former connection, which this side may not have noticed yet.
  std::vector<session_id> former;
  for (const auto& [other, open] : sessions_) {
    if (other != number && open.identity.address == identity.address) {
      former.push_back(other);
    }
  }
  for (session_id other : former) {
    Close(other);
  }
  session& greeted = sessions_.at(number);
  greeted.identity = identity;
  greeted.is_open = true;
  pending_.insert(number);
  hooks_.opened(number, identity);
  hooks_.after_message();
}

void agent_sessions::Report(session_id number, session_wire::Report::Reader report) {
  hooks_.reported(number, Read(report.getLoad()));
  for (auto result : report.getResults()) {
    hooks_.result(Read(result, number));
  }
  if (report.hasPlan()) {
    hooks_.newer_plan(Read(report.getPlan()));
  }
  for (const std::string& address : Read(report.getOtherEntries())) {
    hooks_.entry_reported(address);
  }
  auto open = sessions_.find(number);
  if (open != sessions_.end()) {
    open->second.report_sent = report.getSent();
    open->second.has_reported = true;
    open->second.plan_known = std::max(open->second.plan_known, report.getPlanRevision());
    pending_.insert(number);
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
  if (pending_.empty()) {
    return;
  }
  const std::vector<std::string>& entries = hooks_.entries();
  if (entries != entries_) {
    entries_ = entries;
    ++entries_number_;
  }
  for (session_id number : std::exchange(pending_, {})) {
    auto found = sessions_.find(number);
    if (found != sessions_.end() && found->second.is_open) {
      Send(found->second);
    }
  }
}

void agent_sessions::Send(session& to) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<session_wire::ToAgent>();
  out.setReportSent(to.report_sent);
  const operating_plan& plan = hooks_.plan();
  out.setPlanRevision(plan.revision);
  // Plans may be long and links slow: an agent that has read the plan itself is not sent it.
  if (to.has_reported && plan.revision > to.plan_known) {
    Write(plan, out.initPlan());
    to.plan_known = plan.revision;
  }
  if (to.told_entries != entries_number_) {
    Write(entries_, out.initOtherEntries(static_cast<unsigned>(entries_.size())));
    to.told_entries = entries_number_;
  }
  if (!to.orders.empty()) {
    auto jobs = out.initJobs(static_cast<unsigned>(to.orders.size()));
    for (unsigned index = 0; index < jobs.size(); ++index) {
      Write(to.orders[index], jobs[index]);
    }
  }
  if (!to.stops.empty()) {
    auto stops = out.initStops(static_cast<unsigned>(to.stops.size()));
    for (unsigned index = 0; index < stops.size(); ++index) {
      stops.set(index, to.stops[index]);
    }
  }
  to.orders.clear();
  to.stops.clear();
  to.stream->Send(message);
}

void agent_sessions::Close(session_id number) {
  auto found = sessions_.find(number);
  if (found == sessions_.end()) {
    return;
  }
  bool was_open = found->second.is_open;
  message_stream::Close(std::move(found->second.stream));
  sessions_.erase(found);
  if (was_open) {
    hooks_.closed(number);
  }
}

}  // namespace wagtail::leased
