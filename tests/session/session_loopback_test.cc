#include <algorithm>
#include <chrono>
#include <thread>

#include "rpc/connection_listener.h"
#include "session/agent_sessions.h"
#include "session/entry_links.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr auto kPatience = std::chrono::seconds(20);

/// Waits until `met` holds on the loop's thread.
bool Eventually(event_loop& loop, const std::function<bool()>& met) {
  auto end = std::chrono::steady_clock::now() + kPatience;
  bool holds = false;
  while (!holds && std::chrono::steady_clock::now() < end) {
    loop.Run([&] { holds = met(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return holds;
}

/// Plans that either end was sent, in all tests.
unsigned plans_sent = 0;

/// An entry's end with what it was told.
struct entry_end {
  operating_plan plan{};
  std::vector<session_id> opened{};
  std::vector<session_id> closed{};
  std::vector<run_result> results{};
  std::vector<std::string> heard{};
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
    hooks.opened = [this](session_id session, const agent_identity&) { opened.push_back(session); };
    hooks.reported = [this](session_id, const session_report&) { ++reports; };
    hooks.result = [this](const run_result& result) { results.push_back(result); };
    hooks.closed = [this](session_id session) { closed.push_back(session); };
    hooks.after_message = [this, &loop] { loop.After(duration::zero(), [this] { Flush(); }); };
    hooks.plan = [this]() -> const operating_plan& { return plan; };
    hooks.newer_plan = [this](operating_plan newer) {
      ++plans_sent;
      plan = std::move(newer);
    };
    hooks.entries = [this]() -> const std::vector<std::string>& { return heard; };
    hooks.entry_reported = [this](const std::string& entry) { heard.push_back(entry); };
    loop.Run([&] { sessions = std::make_unique<agent_sessions>(loop, hooks); });
    auto accept = [this](kj::Own<kj::AsyncIoStream> connection) {
      sessions->Accept(kj::mv(connection));
    };
    CHECK(connection_listener::Listen(loop, "127.0.0.1:0", accept, server).ok());
    loop.Run([&] { address = "127.0.0.1:" + std::to_string(server->port()); });
  }
};

/// An agent's end with what it was told.
struct agent_end {
  operating_plan plan{};
  std::vector<session_id> opened{};
  std::vector<session_id> closed{};
  std::vector<run_order> orders{};
  std::vector<uint64_t> withdrawn{};
  unsigned vouched = 0;
  std::unique_ptr<entry_links> links{};

  void Make(event_loop& loop) {
    entry_links::hooks hooks;
    hooks.now = BootTimeNow;
    hooks.opened = [this](session_id session, instant) { opened.push_back(session); };
    hooks.vouched = [this](session_id, instant) { ++vouched; };
    hooks.closed = [this](session_id session) { closed.push_back(session); };
    hooks.order = [this](run_order order) { orders.push_back(std::move(order)); };
    hooks.withdraw = [this](session_id, uint64_t order) { withdrawn.push_back(order); };
    hooks.after_message = [] {};
    hooks.load = [] { return target_status{}; };
    hooks.busy = [](session_id) { return false; };
    hooks.settled = [] { return true; };
    hooks.plan = [this]() -> const operating_plan& { return plan; };
    hooks.newer_plan = [this](operating_plan newer) {
      ++plans_sent;
      plan = std::move(newer);
    };
    loop.Run([&] {
      links = std::make_unique<entry_links>(
          loop, agent_identity{.name = "a", .address = "10.0.0.1:1", .domain = "zone-1"},
          entry_links_options{}, hooks);
    });
  }
};

}  // namespace

TEST_GROUP(SessionLoopback) {
  // Held by pointer: its destructor may throw, which the group's may not.
  std::unique_ptr<event_loop> loop = std::make_unique<event_loop>();
  entry_end entry;
  agent_end agent;

  void setup() override {
    entry.Listen(*loop);
    agent.Make(*loop);
    loop->Run([&] { agent.links->Know(entry.address); });
    CHECK(Until([this] { return !entry.opened.empty() && !agent.opened.empty(); }));
  }
  void teardown() override {
    loop->Stop([this] {
      agent.links.reset();
      entry.server.reset();
      entry.sessions.reset();
    });
  }
  bool Until(const std::function<bool()>& met) {
    return Eventually(*loop, [&] {
      agent.links->Flush();
      return met();
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
    agent.links->Result({.session = agent.opened[0], .order = 3, .outcome = run_outcome::kDone});
  });
  CHECK(Until([this] { return entry.results.size() == 1; }));
  CHECK_EQUAL(3, entry.results[0].order);
}

TEST(SessionLoopback, RepliesRenewTheSessionLease) {
  CHECK(Until([this] { return agent.vouched >= 2; }));
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
    before = plans_sent;
    entry.sessions->Close(entry.opened[0]);
  });
  CHECK(Until([this] { return agent.opened.size() == 2; }));
  unsigned reports = entry.reports;
  CHECK(Until([&] { return entry.reports >= reports + 3; }));
  CHECK_EQUAL(before, plans_sent);
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
  loop->Run([&] { entry.heard.push_back(other.address); });
  CHECK(Until([&] { return !other.opened.empty() && agent.opened.size() == 2; }));
  loop->Run([&] {
    agent.links.reset();
    other.server.reset();
    other.sessions.reset();
  });
}

}  // namespace wagtail::leased
