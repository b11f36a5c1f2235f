#include "session/entry_links.h"

#include <capnp/message.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/identifiers.h"
#include "logging/logging.h"
#include "session/session_codec.h"

namespace wagtail::leased {

/// One entry, with a connection to it or without.
struct entry_links::link {
  explicit link(const reconnect_backoff_options& dial) : pace(dial) {}

  std::string address{};
  instant named{};  ///< when somebody last named the entry
  reconnect_backoff pace;
  bool dialing = false;
  session_id session = 0;  ///< 0: no open session
  uint64_t attempt = 0;    ///< tells callbacks of earlier connections apart
  std::shared_ptr<message_stream> stream{};
  instant greeted{};  ///< when the greeting was sent
  instant answered{};
  instant last_report{};
  uint64_t plan_known = 0;  ///< revision that the entry is known to have
  uint64_t orders_seen = 0;
  instant last_order{};  ///< when the entry last sent one in this session
  uint64_t rank = 0;     ///< entries with lower ranks are preferred
  instant retired{};     ///< when the session became one too many, or the beginning of time
  target_status told{};  ///< the load as it was last reported
  std::vector<std::string> told_entries{};
  instant entries_told_at{};
  std::vector<run_result> results{};
};

entry_links::entry_links(event_loop& loop, agent_identity self, entry_links_options options,
                         hooks hooks)
    : loop_(loop),
      self_(std::move(self)),
      options_(options),
      hooks_(std::move(hooks)),
      alive_(std::make_shared<entry_links*>(this)) {}

entry_links::~entry_links() { *alive_ = nullptr; }

void entry_links::Know(const std::string& address) {
  std::unique_ptr<link>& known = links_[address];
  if (known == nullptr) {
    known = std::make_unique<link>(options_.dial);
    known->address = address;
    known->rank = DigestOf(self_.address + " " + address);
    LogFact(log_level::kInfo, "entry_learned", {{"entry", address}});
  }
  known->named = hooks_.now();
}

void entry_links::Result(const run_result& result) {
  for (auto& [address, each] : links_) {
    if (each->session == result.session) {
      each->results.push_back(result);
    }
  }
}

std::vector<std::string> entry_links::Open() const {
  std::vector<std::string> open;
  for (const auto& [address, each] : links_) {
    if (each->session != 0) {
      open.push_back(address);
    }
  }
  return open;
}

std::function<entry_links::link*()> entry_links::WhileCurrent(const link& target) const {
  return [owner = alive_, attempt = target.attempt, address = target.address]() -> link* {
    if (*owner == nullptr) {
      return nullptr;
    }
    auto found = (*owner)->links_.find(address);
    bool valid = found != (*owner)->links_.end() && found->second->attempt == attempt;
    return valid ? found->second.get() : nullptr;
  };
}

void entry_links::Dial(link& target) {
  target.dialing = true;
  ++target.attempt;
  std::function<link*()> current = WhileCurrent(target);
  auto connected = loop_.provider()
                       .getNetwork()
                       .parseAddress(target.address)
                       .then([](kj::Own<kj::NetworkAddress> where) {
                         auto stream = where->connect();
                         return stream.attach(kj::mv(where));
                       });
  duration patience = target.pace.Begin(hooks_.now());
  auto connecting = loop_.timer()
                        .timeoutAfter(patience.count() * kj::MICROSECONDS, kj::mv(connected))
                        .then([this, current](kj::Own<kj::AsyncIoStream> connection) {
                          link* each = current();
                          if (each != nullptr) {
                            Connected(*each, kj::mv(connection));
                          }
                        });
  auto failed = [this, current](const std::string& why) {
    link* each = current();
    if (each != nullptr) {
      Drop(*each, why);
    }
  };
  loop_.Detach(kj::mv(connecting),
               [failed](kj::Exception&& error) { failed(error.getDescription().cStr()); });
  loop_.After(options_.join_limit, [current, failed] {
    link* each = current();
    if (each != nullptr && each->session == 0) {
      failed("not joined in time");
    }
  });
}

void entry_links::Connected(link& target, kj::Own<kj::AsyncIoStream> connection) {
  std::function<link*()> current = WhileCurrent(target);
  target.stream =
      message_stream::Open(loop_, kj::mv(connection),
                           {.message =
                                [this, current](capnp::MessageReader& message) {
                                  link* each = current();
                                  if (each != nullptr) {
                                    Receive(*each, message.getRoot<session_wire::ToAgent>());
                                  }
                                },
                            .ended =
                                [this, current](const std::string& why) {
                                  link* each = current();
                                  if (each != nullptr) {
                                    Drop(*each, why);
                                  }
                                }});
  target.greeted = hooks_.now();
  capnp::MallocMessageBuilder message;
  Write(self_, message.initRoot<session_wire::ToEntry>().initHello());
  target.stream->Send(message);
}

void entry_links::Joined(link& target, uint64_t plan_known) {
  session_id session = next_session_++;
  target.dialing = false;
  target.session = session;
  target.pace.Connected();
  target.answered = hooks_.now();
  target.plan_known = plan_known;
  target.orders_seen = 0;
  target.last_order = {};
  target.told_entries.clear();
  target.results.clear();
  target.retired = {};
  LogFact(log_level::kInfo, "entry_joined", {{"entry", target.address}, {"session", session}});
  hooks_.opened(session, target.greeted);
  Send(target, hooks_.load(), hooks_.now());
}

void entry_links::Drop(link& target, const std::string& why) {
  instant now = hooks_.now();
  session_id session = std::exchange(target.session, 0);
  LogFact(session == 0 ? log_level::kDebug : log_level::kWarning, "entry_link_lost",
          {{"entry", target.address}, {"session", session}, {"why", why}});
  target.dialing = false;
  ++target.attempt;
  message_stream::Close(std::exchange(target.stream, nullptr));
  target.results.clear();
  if (session == 0) {
    target.pace.Failed(now);
  } else {
    target.pace.Lost(now);
    hooks_.closed(session);
  }
}

std::vector<entry_links::link*> entry_links::Ranked() {
  std::vector<link*> ranked;
  for (auto& [address, each] : links_) {
    ranked.push_back(each.get());
  }
  std::ranges::sort(ranked, {}, &link::rank);
  return ranked;
}

void entry_links::KeepLinks(instant now) {
  std::erase_if(links_, [&](const auto& item) {
    const link& each = *item.second;
    return each.session == 0 && !each.dialing && now - each.named > options_.forget_after;
  });
  size_t kept = 0;
  for (link* each : Ranked()) {
    bool wanted = options_.limits.Allow(kept, SendsOrders(*each, now));
    if (each->session != 0) {
      ++kept;
      if (!wanted) {
        Retire(*each, now);
      } else {
        each->retired = {};
      }
    } else if (each->dialing) {
      ++kept;
    } else if (wanted && each->pace.IsDue(now)) {
      ++kept;
      Dial(*each);
    }
  }
}

bool entry_links::SendsOrders(const link& target, instant now) const {
  return target.session != 0 && target.last_order != instant{} &&
         now - target.last_order < options_.busy_memory;
}

void entry_links::Retire(link& surplus, instant now) {
  if (surplus.retired == instant{}) {
    surplus.retired = now;
    return;
  }
  bool over = now - surplus.retired >= options_.retire_time && surplus.results.empty() &&
              !hooks_.busy(surplus.session);
  if (over) {
    Drop(surplus, "surplus");
  }
}

bool entry_links::IsDue(const link& target, const target_status& load, instant now) const {
  duration since = now - target.last_report;
  bool busy = hooks_.busy(target.session);
  if (!target.results.empty() ||
      since >= (busy ? options_.busy_interval : options_.idle_interval)) {
    return true;
  }
  if (since < options_.load_interval) {
    return false;
  }
  auto moved = static_cast<double>(std::abs(load.free.cpu - target.told.free.cpu));
  auto step = options_.load_step * static_cast<double>(load.capacity.cpu);
  return load.state != target.told.state || moved > step;
}

void entry_links::Flush() {
  instant now = hooks_.now();
  for (auto& [address, each] : links_) {
    if (each->session != 0 && now - each->answered > options_.heartbeat_timeout) {
      Drop(*each, "silent");
    }
  }
  KeepLinks(now);
  target_status load = hooks_.load();
  for (auto& [address, each] : links_) {
    if (each->session != 0 && IsDue(*each, load, now)) {
      Send(*each, load, now);
    }
  }
}

void entry_links::Send(link& target, const target_status& load, instant now) {
  capnp::MallocMessageBuilder message;
  auto report = message.initRoot<session_wire::ToEntry>().initReport();
  std::vector<std::string> open = Open();
  session_report status{.load = load,
                        .entries = static_cast<unsigned>(open.size()),
                        .orders_seen = target.orders_seen,
                        .settled = hooks_.settled()};
  if (target.retired != instant{}) {
    status.load.state = target_availability::kAbsent;
  }
  Write(status, report.initLoad());
  if (!target.results.empty()) {
    auto results = report.initResults(static_cast<unsigned>(target.results.size()));
    for (unsigned index = 0; index < results.size(); ++index) {
      Write(target.results[index], results[index]);
    }
  }
  const operating_plan& plan = hooks_.plan();
  report.setPlanRevision(plan.revision);
  if (plan.revision > target.plan_known) {
    target.plan_known = plan.revision;
    Write(plan, report.initPlan());
  }
  // Said again now and then, since entries forget what nobody names.
  if (open != target.told_entries || now - target.entries_told_at > options_.name_entries) {
    Write(open, report.initOtherEntries(static_cast<unsigned>(open.size())));
    target.told_entries = std::move(open);
    target.entries_told_at = now;
  }
  report.setSent(now.time_since_epoch().count());
  target.results.clear();
  target.told = load;
  target.last_report = now;
  target.stream->Send(message);
}

void entry_links::Receive(link& target, session_wire::ToAgent::Reader message) {
  if (target.session == 0) {
    Joined(target, message.getPlanRevision());
  }
  target.answered = hooks_.now();
  target.named = target.answered;
  target.plan_known = std::max(target.plan_known, message.getPlanRevision());
  if (message.getReportSent() != 0) {
    hooks_.vouched(target.session, instant(duration(message.getReportSent())));
  }
  for (const std::string& address : Read(message.getOtherEntries())) {
    Know(address);
  }
  if (message.hasPlan()) {
    hooks_.newer_plan(Read(message.getPlan()));
  }
  TakeOrders(target, message);
  hooks_.after_message();
}

void entry_links::TakeOrders(link& from, session_wire::ToAgent::Reader message) {
  if (message.getJobs().size() > 0) {
    from.last_order = hooks_.now();
  }
  for (auto job : message.getJobs()) {
    for (run_order& order : Read(job, from.session)) {
      from.orders_seen = std::max(from.orders_seen, order.order);
      hooks_.order(std::move(order));
    }
  }
  for (uint64_t order : message.getStops()) {
    hooks_.withdraw(from.session, order);
  }
}

}  // namespace wagtail::leased
