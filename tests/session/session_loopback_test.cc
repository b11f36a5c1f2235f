#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <map>
#include <thread>

#include "rpc/connection_listener.h"
#include "session/agent_sessions.h"
#include "session/entry_links.h"
#include "session/session_codec.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr auto kTimeout = std::chrono::seconds(20);

/// Waits until `condition` holds on the loop's thread.
bool Eventually(event_loop& loop, const std::function<bool()>& condition) {
  auto end = std::chrono::steady_clock::now() + kTimeout;
  bool holds = false;
  while (!holds && std::chrono::steady_clock::now() < end) {
    loop.Run([&] { holds = condition(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return holds;
}

/// Number of plans that either side received, over all tests.
unsigned plans_received = 0;

/// Entry side of a session that records its events.
struct entry_end {
  peer_build build{.protocols = kSessionProtocols, .build = "entry"};
  operating_plan plan{};
  std::vector<session_id> opened{};
  std::vector<session_id> closed{};
  std::vector<task_crash> crashes{};
  std::vector<run_result> results{};
  std::vector<std::string> entries{};
  waiting_priority waiting{};
  std::vector<int64_t> free_cpu{};  ///< as reported
  unsigned reports = 0;
  std::unique_ptr<agent_sessions> sessions{};
  std::unique_ptr<connection_listener> server{};
  std::string address{};

  void Flush() const {
    if (sessions != nullptr) {
      sessions->Flush();
    }
  }
  void Listen(event_loop& loop) {
    agent_sessions::hooks hooks;
    hooks.now = BootTimeNow;
    hooks.session_opened = [this](session_id session, const agent_identity&) {
      opened.push_back(session);
    };
    hooks.report_received = [this](session_id, const session_report& report) {
      ++reports;
      free_cpu.push_back(report.load.free.cpu);
    };
    hooks.waiting = [this](session_id) { return waiting; };
    hooks.task_crashed = [this](const task_crash& crash) { crashes.push_back(crash); };
    hooks.result = [this](const run_result& result) { results.push_back(result); };
    hooks.session_closed = [this](session_id session) { closed.push_back(session); };
    hooks.after_message = [this, &loop] { loop.After(duration::zero(), [this] { Flush(); }); };
    hooks.plan = [this]() -> const operating_plan& { return plan; };
    hooks.newer_plan = [this](operating_plan newer, const std::string&) {
      ++plans_received;
      plan = std::move(newer);
    };
    hooks.entries = [this]() -> const std::vector<std::string>& { return entries; };
    hooks.entry_reported = [this](const std::string& entry) { entries.push_back(entry); };
    loop.Run([&] { sessions = std::make_unique<agent_sessions>(loop, build, hooks); });
    auto accept = [this](kj::Own<kj::AsyncIoStream> connection) {
      sessions->Accept(kj::mv(connection));
    };
    CHECK(connection_listener::Listen(loop, "127.0.0.1:0", accept, server).ok());
    loop.Run([&] { address = "127.0.0.1:" + std::to_string(server->port()); });
  }
};

/// Agent side of a session that records its events.
struct agent_end {
  operating_plan plan{};
  std::vector<session_id> opened{};
  std::vector<session_id> closed{};
  std::vector<run_order> orders{};
  std::vector<uint64_t> withdrawn{};
  unsigned lease_renewals = 0;
  std::map<session_id, unsigned> answers{};  ///< to reports
  target_status load{};
  entry_links_options options{};
  std::unique_ptr<entry_links> links{};

  void Make(event_loop& loop) {
    entry_links::hooks hooks;
    hooks.now = BootTimeNow;
    hooks.session_opened = [this](session_id session, instant) { opened.push_back(session); };
    hooks.session_lease_renewed = [this](session_id session, instant) {
      ++lease_renewals;
      ++answers[session];
    };
    hooks.session_closed = [this](session_id session) { closed.push_back(session); };
    hooks.order = [this](run_order order) { orders.push_back(std::move(order)); };
    hooks.withdraw = [this](session_id, uint64_t order) { withdrawn.push_back(order); };
    hooks.after_message = [] {};
    hooks.load = [this] { return load; };
    hooks.busy = [](session_id) { return false; };
    hooks.settled = [] { return true; };
    hooks.plan = [this]() -> const operating_plan& { return plan; };
    hooks.newer_plan = [this](operating_plan newer, const std::string&) {
      ++plans_received;
      plan = std::move(newer);
    };
    loop.Run([&] {
      links = std::make_unique<entry_links>(
          loop, agent_identity{.name = "a", .address = "10.0.0.1:1", .domain = "zone-1"}, options,
          hooks);
    });
  }
};

}  // namespace

TEST_GROUP(SessionLoopback) {
  // Held by pointer: the loop's destructor may throw, the test group's may not.
  std::unique_ptr<event_loop> loop = std::make_unique<event_loop>();
  entry_end entry;
  agent_end agent;

  void setup() override {
    entry.Listen(*loop);
    agent.Make(*loop);
    loop->Run([&] { agent.links->AddEntry(entry.address); });
    CHECK(Until([this] { return !entry.opened.empty() && !agent.opened.empty(); }));
  }
  void teardown() override {
    loop->Stop([this] {
      agent.links.reset();
      entry.server.reset();
      entry.sessions.reset();
    });
  }
  bool Until(const std::function<bool()>& condition) {
    return Eventually(*loop, [&] {
      agent.links->Flush();
      return condition();
    });
  }
};

TEST(SessionLoopback, OrdersReachTheAgentAndResultsReachTheEntry) {
  loop->Run([this] {
    order_batch batch{
        .session = entry.opened[0], .text = std::make_shared<const std::string>("on"), .job = "ab"};
    batch.orders.push_back({.order = 3, .task = {.job = "ab", .step = 0, .index = 1}});
    entry.sessions->Order(batch);
    entry.sessions->Withdraw(entry.opened[0], 3);
    entry.sessions->Flush();
  });
  CHECK(Until([this] { return agent.orders.size() == 1 && agent.withdrawn.size() == 1; }));
  loop->Run([this] {
    agent.links->AddResult({.session = agent.opened[0], .order = 3, .outcome = run_outcome::kDone});
  });
  CHECK(Until([this] { return entry.results.size() == 1; }));
  CHECK_EQUAL(3, entry.results[0].order);
}

TEST(SessionLoopback, RepliesRenewTheSessionLease) {
  CHECK(Until([this] { return agent.lease_renewals >= 2; }));
}

TEST(SessionLoopback, TheNewerPlanReachesBothEnds) {
  loop->Run([this] { agent.plan.revision = 5; });
  CHECK(Until([this] { return entry.plan.revision == 5; }));
  loop->Run([this] { entry.plan.revision = 8; });
  CHECK(Until([this] { return agent.plan.revision == 8; }));
}

TEST(SessionLoopback, APlanThatBothEndsKnowIsNotSentInANewSession) {
  unsigned before = 0;
  loop->Run([&] {
    entry.plan.revision = 5;
    agent.plan.revision = 5;
    before = plans_received;
    entry.sessions->Close(entry.opened[0]);
  });
  CHECK(Until([this] { return agent.opened.size() == 2; }));
  unsigned reports = entry.reports;
  CHECK(Until([&] { return entry.reports >= reports + 3; }));
  CHECK_EQUAL(before, plans_received);
}

TEST(SessionLoopback, ChangesInQuickSuccessionThatBothEndsReadAreNotSentAsCopies) {
  constexpr unsigned kChanges = 20;
  unsigned reports = 0;
  CHECK(Until([&] { return entry.reports >= 2; }));
  unsigned before = plans_received;
  for (unsigned change = 0; change < kChanges; ++change) {
    loop->Run([&] {
      ++entry.plan.revision;
      ++agent.plan.revision;
      reports = entry.reports;
    });
    CHECK(Until([&] { return entry.reports > reports; }));
  }
  CHECK_EQUAL(before, plans_received);
}

TEST(SessionLoopback, APlanReachesAnAgentThatTheStoreDoesNotServe) {
  loop->Run([&] { entry.plan.revision = 5; });
  CHECK(Until([&] { return agent.plan.revision == 5; }));
}

TEST(SessionLoopback, APlanReachesAnEntryThatTheStoreDoesNotServe) {
  loop->Run([&] { agent.plan.revision = 5; });
  CHECK(Until([&] { return entry.plan.revision == 5; }));
}

TEST(SessionLoopback, ACrashReachesEveryEntryOfTheAgent) {
  entry_end other;
  other.Listen(*loop);
  loop->Run([&] { agent.links->AddEntry(other.address); });
  CHECK(Until([&] { return !other.opened.empty() && agent.opened.size() == 2; }));
  loop->Run([&] {
    agent.links->AddCrash({.task = {.job = "ab", .step = 1, .index = 2}, .suspected = true});
  });
  CHECK(Until([&] { return entry.crashes.size() == 1 && other.crashes.size() == 1; }));
  CHECK(other.crashes[0].suspected);
  CHECK(other.crashes[0].task == (task_ref{.job = "ab", .step = 1, .index = 2}));
  loop->Run([&] {
    agent.links.reset();
    other.server.reset();
    other.sessions.reset();
  });
}

TEST(SessionLoopback, ASessionClosedByTheEntryIsReopened) {
  loop->Run([this] { entry.sessions->Close(entry.opened[0]); });
  CHECK(Until([this] { return agent.closed.size() == 1 && agent.opened.size() == 2; }));
  CHECK_EQUAL(1, entry.closed.size());
  CHECK(agent.opened[0] != agent.opened[1]);
}

TEST(SessionLoopback, AnEntryReportedOnlyByAnotherEntryIsConnected) {
  entry_end other;
  other.Listen(*loop);
  loop->Run([&] { entry.entries.push_back(other.address); });
  CHECK(Until([&] { return !other.opened.empty() && agent.opened.size() == 2; }));
  loop->Run([&] {
    agent.links.reset();
    other.server.reset();
    other.sessions.reset();
  });
}

TEST(SessionLoopback, ADrainingEntryIsReplacedWhileItsSessionGoesOn) {
  std::array<entry_end, link_limits{}.max_sessions> others;
  for (entry_end& other : others) {
    other.Listen(*loop);
    loop->Run([&] { agent.links->AddEntry(other.address); });
  }
  size_t limit = link_limits{}.max_sessions;
  CHECK(Until([&] { return agent.links->ConnectedEntries().size() == limit; }));
  std::vector<entry_end*> all{&entry};
  std::ranges::transform(others, std::back_inserter(all), [](entry_end& other) { return &other; });
  auto draining = std::ranges::find_if(all, [&](const entry_end* each) {
    return std::ranges::count(agent.links->ConnectedEntries(), each->address) == 1;
  });
  loop->Run([&] { (*draining)->sessions->AnnounceDraining(); });
  CHECK(Until([&] { return agent.links->ConnectedEntries().size() == limit + 1; }));
  CHECK((*draining)->closed.empty());
  loop->Run([&] {
    agent.links.reset();
    for (entry_end& other : others) {
      other.server.reset();
      other.sessions.reset();
    }
  });
}

// Capacity freed by a run of one entry must not go to its less urgent jobs while another entry that
// shares the target has more urgent ones waiting, nor be kept for an entry that is gone.
TEST(SessionLoopback, FreedCapacityIsOfferedToTheMoreUrgentEntryAlone) {
  constexpr int64_t kFreed = 6900;
  constexpr unsigned kReports = 3;
  entry_end other;
  other.Listen(*loop);
  loop->Run([&] {
    agent.links.reset();
    entry.waiting = {.told = true, .highest = 1};
    other.waiting = {.told = true, .highest = 0};
  });
  agent.options.freed.hold = std::chrono::hours(1);
  agent.opened.clear();
  agent.answers.clear();
  agent.Make(*loop);
  loop->Run([&] {
    agent.links->AddEntry(entry.address);
    agent.links->AddEntry(other.address);
  });
  CHECK(Until([&] {
    return agent.opened.size() == 2 && std::ranges::all_of(agent.opened, [&](session_id session) {
             return agent.answers[session] >= kReports;
           });
  }));
  size_t before = 0;
  loop->Run([&] {
    before = entry.free_cpu.size();
    agent.load.free.cpu = kFreed;
  });
  CHECK(Until([&] {
    return other.free_cpu.back() == kFreed && entry.free_cpu.size() >= before + kReports;
  }));
  loop->Run([&] { CHECK_EQUAL(0, std::ranges::count(entry.free_cpu, kFreed)); });
  loop->Run([&] {
    other.server.reset();
    other.sessions.reset();
  });
  CHECK(Until([&] { return entry.free_cpu.back() == kFreed; }));
}

// Entries of the previous version do not tell their priorities: they learn of all free capacity.
TEST(SessionLoopback, NothingIsHeldBackFromAnEntryThatTellsNoPriority) {
  constexpr int64_t kFreed = 6900;
  entry_end other;
  other.Listen(*loop);
  loop->Run([&] {
    agent.links.reset();
    other.waiting = {.told = true, .highest = 0};
  });
  agent.options.freed.hold = std::chrono::hours(1);
  agent.opened.clear();
  agent.answers.clear();
  agent.Make(*loop);
  loop->Run([&] {
    agent.links->AddEntry(entry.address);
    agent.links->AddEntry(other.address);
  });
  CHECK(Until([&] {
    return agent.opened.size() == 2 && std::ranges::all_of(agent.opened, [&](session_id session) {
             return agent.answers[session] >= 1;
           });
  }));
  loop->Run([&] { agent.load.free.cpu = kFreed; });
  CHECK(Until([&] { return entry.free_cpu.back() == kFreed && other.free_cpu.back() == kFreed; }));
  loop->Run([&] {
    agent.links.reset();
    other.server.reset();
    other.sessions.reset();
  });
}

namespace {

/// Sends raw messages of an agent, and counts what the entry sends back.
struct raw_agent {
  std::shared_ptr<message_stream> stream{};
  unsigned messages = 0;
  bool ended = false;

  void Connect(event_loop& loop, const std::string& address) {
    loop.Run([&] {
      loop.Detach(loop.provider()
                      .getNetwork()
                      .parseAddress(address)
                      .then([](kj::Own<kj::NetworkAddress> parsed) {
                        auto connection = parsed->connect();
                        return connection.attach(kj::mv(parsed));
                      })
                      .then([this, &loop](kj::Own<kj::AsyncIoStream> connection) {
                        stream = message_stream::Open(
                            loop, kj::mv(connection),
                            {.message = [this](capnp::MessageReader&) { ++messages; },
                             .ended = [this](const std::string&) { ended = true; }});
                      }));
    });
    CHECK(Eventually(loop, [this] { return stream != nullptr; }));
  }
  void SayHello(event_loop& loop, const peer_build& build) const {
    loop.Run([&] {
      capnp::MallocMessageBuilder message;
      auto hello = message.initRoot<session_wire::ToEntry>().initHello();
      Write(agent_identity{.name = "b", .address = "10.0.0.2:1", .build = build}, hello);
      stream->Send(message);
    });
  }
  /// Sends a kind of message that the schema does not have.
  void SendUnknownKind(event_loop& loop) const {
    loop.Run([&] {
      constexpr uint16_t kUnknownKind = 77;
      capnp::MallocMessageBuilder message;
      message.initRoot<session_wire::ToEntry>().initReport();
      kj::Array<capnp::word> flat = capnp::messageToFlatArray(message);
      // Segment table and root pointer take a word each; the kind is in the first data word.
      flat.asBytes()[2 * sizeof(capnp::word)] = kUnknownKind;
      capnp::FlatArrayMessageReader changed(flat);
      capnp::MallocMessageBuilder copy;
      copy.setRoot(changed.getRoot<session_wire::ToEntry>());
      stream->Send(copy);
    });
  }
  void Close(event_loop& loop) {
    loop.Run([this] { message_stream::Close(std::exchange(stream, nullptr)); });
  }
};

}  // namespace

TEST(SessionLoopback, AnEntryRefusesAnAgentWithoutACommonProtocol) {
  raw_agent other;
  other.Connect(*loop, entry.address);
  other.SayHello(*loop, {.protocols = {.oldest = 98, .newest = 99}, .build = "future"});
  CHECK(Eventually(*loop, [&] { return other.ended; }));
  CHECK_EQUAL(1, entry.opened.size());
  other.Close(*loop);
}

TEST(SessionLoopback, AnAgentRefusesAnEntryWithoutACommonProtocol) {
  entry_end other;
  other.build.protocols = {.oldest = 98, .newest = 99};
  other.Listen(*loop);
  loop->Run([&] { agent.links->AddEntry(other.address); });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK(Until([&] { return agent.links->ConnectedEntries().size() == 1; }));
  CHECK_EQUAL(1, agent.opened.size());
  CHECK(other.opened.empty());
  loop->Run([&] {
    agent.links.reset();
    other.server.reset();
    other.sessions.reset();
  });
}

// A newer agent may send kinds of messages that this entry does not know.
TEST(SessionLoopback, AnUnknownKindOfMessageIsIgnored) {
  raw_agent other;
  other.Connect(*loop, entry.address);
  other.SayHello(*loop, {.protocols = {.oldest = 1, .newest = 99}, .build = "future"});
  CHECK(Eventually(*loop, [&] { return entry.opened.size() == 2; }));
  other.SendUnknownKind(*loop);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  other.SayHello(*loop, {.protocols = {.oldest = 1, .newest = 99}, .build = "future"});
  CHECK(Eventually(*loop, [&] { return entry.opened.size() == 3; }));
  CHECK(!other.ended);
  other.Close(*loop);
}

}  // namespace wagtail::leased
