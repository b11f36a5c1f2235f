#include "session/entry_links.h"

#include <capnp/message.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/identifiers.h"
#include "logging/logging.h"
#include "plan/peer_plan.h"
#include "session/session_codec.h"

namespace wagtail::leased {

/// A known entry and the connection to it, if any.
struct entry_links::link {
  explicit link(const reconnect_backoff_options& reconnect) : backoff(reconnect) {}

  std::string address{};
  instant last_seen{};  ///< when the entry was last reported or answered
  reconnect_backoff backoff;
  bool is_connecting = false;
  session_id session = 0;  ///< 0: no open session
  uint64_t attempt = 0;    ///< identifies callbacks of earlier connections
  std::shared_ptr<message_stream> stream{};
  instant hello_sent{};  ///< when the hello was sent
  instant last_answer{};
  instant last_report{};
  peer_plan plan{0};  ///< what the entry is known to have
  uint64_t orders_seen = 0;
  instant last_order{};           ///< when the entry last sent an order in this session
  uint64_t rank = 0;              ///< entries with lower ranks are preferred
  instant retired_since{};        ///< when the session became surplus; zero if it is not
  target_status reported_load{};  ///< load in the last report
  int64_t held = 0;               ///< part of its free CPU that the last report held back
  std::vector<std::string> reported_entries{};
  instant entries_reported_at{};
  std::vector<run_result> results{};
  std::vector<task_crash> crashes{};
  bool is_draining = false;  ///< the entry is about to end
};

entry_links::entry_links(event_loop& loop, agent_identity self, entry_links_options options,
                         hooks hooks)
    : loop_(loop),
      self_(std::move(self)),
      options_(options),
      hooks_(std::move(hooks)),
      freed_(options.freed),
      alive_(std::make_shared<entry_links*>(this)) {}

entry_links::~entry_links() { *alive_ = nullptr; }

void entry_links::AddEntry(const std::string& address) {
  std::unique_ptr<link>& added = links_[address];
  if (added == nullptr) {
    added = std::make_unique<link>(options_.reconnect);
    added->address = address;
    added->rank = DigestOf(self_.address + " " + address);
    LogFact(log_level::kInfo, "entry_learned", {{"entry", address}});
  }
  added->last_seen = hooks_.now();
}

void entry_links::AddResult(const run_result& result) {
  for (auto& [address, entry] : links_) {
    if (entry->session == result.session) {
      entry->results.push_back(result);
    }
  }
}

void entry_links::AddCrash(const task_crash& crash) {
  for (auto& [address, entry] : links_) {
    if (entry->session != 0) {
      entry->crashes.push_back(crash);
    }
  }
}

std::vector<std::string> entry_links::ConnectedEntries() const {
  std::vector<std::string> open_entries;
  for (const auto& [address, entry] : links_) {
    if (entry->session != 0) {
      open_entries.push_back(address);
    }
  }
  return open_entries;
}

std::function<entry_links::link*()> entry_links::LinkOfAttempt(const link& entry) const {
  return [owner = alive_, attempt = entry.attempt, address = entry.address]() -> link* {
    if (*owner == nullptr) {
      return nullptr;
    }
    auto found = (*owner)->links_.find(address);
    bool valid = found != (*owner)->links_.end() && found->second->attempt == attempt;
    return valid ? found->second.get() : nullptr;
  };
}

void entry_links::Connect(link& entry) {
  entry.is_connecting = true;
  ++entry.attempt;
  std::function<link*()> current_link = LinkOfAttempt(entry);
  auto connected = loop_.provider()
                       .getNetwork()
                       .parseAddress(entry.address)
                       .then([](kj::Own<kj::NetworkAddress> address) {
                         auto stream = address->connect();
                         return stream.attach(kj::mv(address));
                       });
  duration timeout = entry.backoff.StartAttempt(hooks_.now());
  auto connecting = loop_.timer()
                        .timeoutAfter(timeout.count() * kj::MICROSECONDS, kj::mv(connected))
                        .then([this, current_link](kj::Own<kj::AsyncIoStream> connection) {
                          link* current = current_link();
                          if (current != nullptr) {
                            OnConnected(*current, kj::mv(connection));
                          }
                        });
  auto failed = [this, current_link](const std::string& why) {
    link* current = current_link();
    if (current != nullptr) {
      Disconnect(*current, why);
    }
  };
  loop_.Detach(kj::mv(connecting),
               [failed](kj::Exception&& error) { failed(error.getDescription().cStr()); });
  loop_.After(options_.join_timeout, [current_link, failed] {
    link* current = current_link();
    if (current != nullptr && current->session == 0) {
      failed("session not opened within the join timeout");
    }
  });
}

void entry_links::OnConnected(link& entry, kj::Own<kj::AsyncIoStream> connection) {
  std::function<link*()> current_link = LinkOfAttempt(entry);
  entry.stream =
      message_stream::Open(loop_, kj::mv(connection),
                           {.message =
                                [this, current_link](capnp::MessageReader& message) {
                                  link* current = current_link();
                                  if (current != nullptr) {
                                    OnMessage(*current, message.getRoot<session_wire::ToAgent>());
                                  }
                                },
                            .ended =
                                [this, current_link](const std::string& why) {
                                  link* current = current_link();
                                  if (current != nullptr) {
                                    Disconnect(*current, why);
                                  }
                                }});
  entry.hello_sent = hooks_.now();
  capnp::MallocMessageBuilder message;
  Write(self_, message.initRoot<session_wire::ToEntry>().initHello());
  entry.stream->Send(message);
}

bool entry_links::CanTalkTo(link& entry, const peer_build& build) {
  if (CommonProtocol(self_.build.protocols, build.protocols).has_value()) {
    return true;
  }
  LogFact(log_level::kError, "entry_incompatible",
          {{"entry", entry.address},
           {"build", build.build},
           {"protocol", ProtocolText(build.protocols)},
           {"own_protocol", ProtocolText(self_.build.protocols)}});
  Disconnect(entry, "no common session protocol");
  return false;
}

void entry_links::OnSessionOpened(link& entry, uint64_t known_plan_revision,
                                  const peer_build& build) {
  session_id session = next_session_++;
  entry.is_connecting = false;
  entry.session = session;
  freed_.OnSessionOpened(session);
  entry.held = 0;
  entry.is_draining = false;
  entry.backoff.OnConnected();
  entry.last_answer = hooks_.now();
  entry.plan = peer_plan(FractionOf(entry.rank));
  entry.plan.OnPeerHas(known_plan_revision);
  entry.orders_seen = 0;
  entry.last_order = {};
  entry.reported_entries.clear();
  entry.results.clear();
  entry.crashes.clear();
  entry.retired_since = {};
  LogFact(log_level::kInfo, "entry_joined",
          {{"entry", entry.address},
           {"session", session},
           {"build", build.build},
           {"protocol", ProtocolText(build.protocols)}});
  hooks_.session_opened(session, entry.hello_sent);
  SendReport(entry, hooks_.load(), hooks_.now());
}

void entry_links::Disconnect(link& entry, const std::string& why) {
  instant now = hooks_.now();
  session_id session = std::exchange(entry.session, 0);
  freed_.OnSessionClosed(session);
  entry.is_draining = false;
  LogFact(session == 0 ? log_level::kDebug : log_level::kWarning, "entry_link_lost",
          {{"entry", entry.address}, {"session", session}, {"why", why}});
  entry.is_connecting = false;
  ++entry.attempt;
  message_stream::Close(std::exchange(entry.stream, nullptr));
  entry.results.clear();
  if (session == 0) {
    entry.backoff.OnFailure(now);
  } else {
    entry.backoff.OnConnectionLost(now);
    hooks_.session_closed(session);
  }
}

std::vector<entry_links::link*> entry_links::LinksByRank() {
  std::vector<link*> ranked;
  for (auto& [address, entry] : links_) {
    ranked.push_back(entry.get());
  }
  std::ranges::sort(ranked, {}, &link::rank);
  return ranked;
}

void entry_links::MaintainLinks(instant now) {
  std::erase_if(links_, [&](const auto& item) {
    const link& entry = *item.second;
    return entry.session == 0 && !entry.is_connecting &&
           now - entry.last_seen > options_.entry_expiry;
  });
  size_t kept = 0;
  for (link* entry : LinksByRank()) {
    bool allowed = options_.limits.Allow(kept, SendsOrders(*entry, now));
    if (entry->is_draining) {
      // Kept until the entry ends it, and already replaced by a session with another entry.
      entry->retired_since = {};
    } else if (entry->session != 0) {
      ++kept;
      if (!allowed) {
        Retire(*entry, now);
      } else {
        entry->retired_since = {};
      }
    } else if (entry->is_connecting) {
      ++kept;
    } else if (allowed && entry->backoff.IsDue(now)) {
      ++kept;
      Connect(*entry);
    }
  }
}

bool entry_links::SendsOrders(const link& entry, instant now) const {
  return entry.session != 0 && entry.last_order != instant{} &&
         now - entry.last_order < options_.idle_after;
}

void entry_links::Retire(link& surplus, instant now) {
  if (surplus.retired_since == instant{}) {
    surplus.retired_since = now;
    return;
  }
  bool can_close = now - surplus.retired_since >= options_.retire_delay &&
                   surplus.results.empty() && !hooks_.busy(surplus.session);
  if (can_close) {
    Disconnect(surplus, "surplus");
  }
}

bool entry_links::IsReportDue(const link& entry, const target_status& load, instant now) const {
  duration elapsed = now - entry.last_report;
  bool busy = hooks_.busy(entry.session);
  if (!entry.results.empty() || !entry.crashes.empty() ||
      elapsed >= (busy ? options_.busy_report_interval : options_.idle_report_interval)) {
    return true;
  }
  bool released = entry.held > 0 && freed_.HeldFrom(entry.session) == 0;
  if (released || freed_.IsOfferDue(entry.session, entry.last_report, now)) {
    return true;
  }
  if (elapsed < options_.load_report_interval) {
    return false;
  }
  auto change = static_cast<double>(std::abs(load.free.cpu - entry.reported_load.free.cpu));
  auto min_change = options_.min_load_change * static_cast<double>(load.capacity.cpu);
  return load.state != entry.reported_load.state || change > min_change;
}

void entry_links::Flush() {
  instant now = hooks_.now();
  for (auto& [address, entry] : links_) {
    if (entry->session != 0 && now - entry->last_answer > options_.heartbeat_timeout) {
      Disconnect(*entry, "silent");
    }
  }
  MaintainLinks(now);
  target_status load = hooks_.load();
  freed_.Observe(load.free.cpu, now);
  for (auto& [address, entry] : links_) {
    if (entry->session != 0 && IsReportDue(*entry, load, now)) {
      SendReport(*entry, load, now);
    }
  }
}

void entry_links::SendReport(link& entry, const target_status& load, instant now) {
  capnp::MallocMessageBuilder message;
  auto report = message.initRoot<session_wire::ToEntry>().initReport();
  std::vector<std::string> open_entries = ConnectedEntries();
  session_report status{.load = load,
                        .entries = static_cast<unsigned>(open_entries.size()),
                        .orders_seen = entry.orders_seen,
                        .settled = hooks_.settled()};
  entry.held = freed_.HeldFrom(entry.session);
  status.load.free.cpu -= entry.held;
  if (entry.retired_since != instant{}) {
    status.load.state = target_availability::kAbsent;
  }
  Write(status, report.initLoad());
  if (!entry.results.empty()) {
    auto results = report.initResults(static_cast<unsigned>(entry.results.size()));
    for (unsigned index = 0; index < results.size(); ++index) {
      Write(entry.results[index], results[index]);
    }
  }
  if (!entry.crashes.empty()) {
    auto crashes = report.initCrashes(static_cast<unsigned>(entry.crashes.size()));
    for (unsigned index = 0; index < crashes.size(); ++index) {
      Write(entry.crashes[index], crashes[index]);
    }
  }
  const operating_plan& plan = hooks_.plan();
  report.setPlanRevision(plan.revision);
  if (entry.plan.NeedsCopy(plan.revision, now)) {
    Write(plan, report.initPlan());
    entry.plan.OnCopySent(plan.revision);
    ++plan_copies_;
  }
  // Repeated periodically, since entries expire addresses that are no longer reported.
  if (open_entries != entry.reported_entries ||
      now - entry.entries_reported_at > options_.entry_list_interval) {
    Write(open_entries, report.initOtherEntries(static_cast<unsigned>(open_entries.size())));
    entry.reported_entries = std::move(open_entries);
    entry.entries_reported_at = now;
  }
  report.setSent(now.time_since_epoch().count());
  entry.results.clear();
  entry.crashes.clear();
  entry.reported_load = load;
  entry.last_report = now;
  entry.stream->Send(message);
}

void entry_links::OnMessage(link& entry, session_wire::ToAgent::Reader message) {
  if (entry.session == 0) {
    peer_build build = Read(message.getBuild());
    if (!CanTalkTo(entry, build)) {
      return;
    }
    OnSessionOpened(entry, message.getPlanRevision(), build);
  }
  entry.is_draining = message.getDraining();
  entry.last_answer = hooks_.now();
  entry.last_seen = entry.last_answer;
  freed_.SetWaiting(entry.session, ReadWaitingPriority(message.getWaitingPriority()));
  entry.plan.OnPeerHas(message.getPlanRevision());
  if (message.getReportSent() != 0) {
    hooks_.session_lease_renewed(entry.session, instant(duration(message.getReportSent())));
  }
  for (const std::string& address : Read(message.getOtherEntries())) {
    AddEntry(address);
  }
  if (message.hasPlan() && message.getPlan().getRevision() > hooks_.plan().revision) {
    hooks_.newer_plan(Read(message.getPlan()), entry.address);
  }
  ProcessOrders(entry, message);
  hooks_.after_message();
}

void entry_links::ProcessOrders(link& entry, session_wire::ToAgent::Reader message) {
  if (message.getJobs().size() > 0) {
    entry.last_order = hooks_.now();
  }
  for (auto job : message.getJobs()) {
    for (run_order& order : Read(job, entry.session)) {
      entry.orders_seen = std::max(entry.orders_seen, order.order);
      hooks_.order(std::move(order));
    }
  }
  for (uint64_t order : message.getStops()) {
    hooks_.withdraw(entry.session, order);
  }
}

}  // namespace wagtail::leased
