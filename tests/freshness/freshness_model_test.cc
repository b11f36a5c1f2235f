#include <rapidcheck.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

#include "tests/freshness/deployment_model.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kLongestSpanMs = 8000;
constexpr int kLongestPauseMs = 1500;
constexpr std::size_t kScriptLength = 80;
const duration kSettling = seconds(40);

using script = std::vector<disturbance>;

script RandomScript(uint64_t seed, std::size_t length) {
  std::mt19937_64 random(seed);
  script result(length);
  for (auto& item : result) {
    auto kind = random() % (2UL * kDisturbanceKinds);  // commits are half of all
    item.kind =
        kind < kDisturbanceKinds ? static_cast<disturbance_kind>(kind) : disturbance_kind::kCommit;
    item.which = random();
    item.span = milliseconds(random() % kLongestSpanMs);
    item.pause = milliseconds(random() % kLongestPauseMs);
  }
  return result;
}

rc::Gen<disturbance> AnyDisturbance() {
  return rc::gen::build<disturbance>(
      rc::gen::set(&disturbance::kind,
                   rc::gen::map(rc::gen::inRange(0, kDisturbanceKinds),
                                [](int kind) { return static_cast<disturbance_kind>(kind); })),
      rc::gen::set(&disturbance::which, rc::gen::arbitrary<uint64_t>()),
      rc::gen::set(&disturbance::span,
                   rc::gen::map(rc::gen::inRange(0, kLongestSpanMs),
                                [](int span) { return duration(milliseconds(span)); })),
      rc::gen::set(&disturbance::pause,
                   rc::gen::map(rc::gen::inRange(0, kLongestPauseMs),
                                [](int pause) { return duration(milliseconds(pause)); })));
}

/// @return what went wrong during the script, or after everything was whole again
std::optional<std::string> Play(deployment_model& model, const script& disturbances) {
  for (const auto& item : disturbances) {
    model.Apply(item);
    if (model.violation()) {
      return model.violation();
    }
  }
  model.Heal();
  model.Run(kSettling);
  return model.violation() ? model.violation() : model.Unfinished();
}

/// Plays random scripts until the invariants notice the fault.
/// @return scripts played, or 0 if the fault went unnoticed
uint64_t ScriptsUntilNoticed(wiring_fault fault, uint64_t most) {
  for (uint64_t seed = 1; seed <= most; ++seed) {
    deployment_model model({.seed = seed, .fault = fault, .entries = 3 + seed % 3});
    for (const auto& item : RandomScript(seed, kScriptLength)) {
      model.Apply(item);
      if (model.violation()) {
        std::cout << "noticed by script " << seed << ": " << *model.violation() << '\n';
        return seed;
      }
    }
  }
  return 0;
}

/// Three voters, of which the third alone reads the table. The answers of the second to the first
/// are held up until after the third has got the second to confirm a change.
/// @return the invariant broken, if any
std::optional<std::string> PlayAnswersHeldUp(wiring_fault fault) {
  deployment_model model({.seed = 3,
                          .fault = fault,
                          .entries = 3,
                          .daemons = 3,
                          .quality = network_quality::kReliable});
  auto& network = model.network();
  model.Run(seconds(20));
  constexpr duration kWhole = minutes(1);
  network.Cut(model.table_node(), model.entry_node(0), kWhole);
  network.Cut(model.table_node(), model.entry_node(1), kWhole);
  network.Cut(model.entry_node(0), model.entry_node(2), kWhole);
  network.Cut(model.daemon_node(0), model.entry_node(1), kWhole);
  network.Cut(model.daemon_node(0), model.entry_node(2), kWhole);
  model.Run(seconds(5));
  network.Freeze(model.entry_node(1), model.entry_node(0), seconds(6));
  model.Run(seconds(1));
  network.Cut(model.entry_node(0), model.entry_node(1), seconds(5));
  model.Apply({disturbance_kind::kCommit, 2, {}, seconds(5) + milliseconds(5)});
  network.Cut(model.entry_node(0), model.entry_node(1), kWhole);
  model.Run(seconds(10));
  CHECK(model.counts().stretches > 0 && model.counts().claims > 0);
  return model.violation();
}

uint64_t FromEnvironment(const char* name, uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

void CutFromEntries(deployment_model& model, node_id node, duration span) {
  for (std::size_t entry = 0; entry < model.entries(); ++entry) {
    model.network().Cut(model.entry_node(entry), node, span);
  }
}

}  // namespace

TEST_GROUP(FreshnessModel){};

TEST(FreshnessModel, HoldsUnderGeneratedDisturbances) {
  bool holds = rc::check("no start against what is in force, and all is whole in the end", [] {
    auto disturbances = *rc::gen::container<script>(AnyDisturbance());
    deployment_model model({.seed = *rc::gen::arbitrary<uint64_t>()});
    auto wrong = Play(model, disturbances);
    RC_LOG() << wrong.value_or("");
    RC_ASSERT(!wrong.has_value());
  });
  CHECK(holds);
}

TEST(FreshnessModel, HoldsInALongRun) {
  uint64_t wanted = FromEnvironment("WAGTAIL_SOAK_EVENTS", 100'000);
  uint64_t seed = FromEnvironment("WAGTAIL_SOAK_SEED", 20261204);
  uint64_t events = 0;
  model_counts total;
  for (; events < wanted; ++seed) {
    deployment_model model({.seed = seed, .entries = 3 + seed % 5});
    auto wrong = Play(model, RandomScript(seed, kScriptLength));
    if (wrong) {
      std::cout << "seed " << seed << ": " << *wrong << '\n';
    }
    CHECK_FALSE(wrong.has_value());
    events += model.network().events();
    total.starts += model.counts().starts;
    total.stale_refusals += model.counts().stale_refusals;
    total.commits += model.counts().commits;
    total.stretches += model.counts().stretches;
    total.claims += model.counts().claims;
    total.voter_steps += model.counts().voter_steps;
  }
  std::cout << events << " events, " << total.starts << " starts, " << total.stale_refusals
            << " stale refusals, " << total.commits << " commits, " << total.voter_steps
            << " voter steps, " << total.stretches << " polls won, " << total.claims
            << " versions in force\n";
  CHECK(total.starts > 0 && total.stale_refusals > 0 && total.commits > 0);
  CHECK(total.stretches > 0 && total.claims > 0 && total.voter_steps > 0);
}

TEST(FreshnessModel, NoticesEveryFaultPutIntoTheWiring) {
  constexpr uint64_t kMostScripts = 400;
  for (auto fault : {wiring_fault::kDateAnswersAtReceipt, wiring_fault::kDateReadsAtTheirEnd,
                     wiring_fault::kCountAMinority, wiring_fault::kSkipWaitingForTheLapse,
                     wiring_fault::kIgnoreClockRates, wiring_fault::kChangeTwoVotersAtOnce,
                     wiring_fault::kChangeVotersUnconfirmed, wiring_fault::kKeepTheVoteOverARestart,
                     wiring_fault::kCheckBeforeAPause}) {
    std::cout << "fault " << static_cast<int>(fault) << ": ";
    CHECK(ScriptsUntilNoticed(fault, kMostScripts) > 0);
  }
}

TEST(FreshnessModel, CountsNoAnswerHeldUpFromBeforeAChange) {
  CHECK_FALSE(PlayAnswersHeldUp(wiring_fault::kNone).has_value());
  CHECK(PlayAnswersHeldUp(wiring_fault::kCountAnswersToEarlierPolls).has_value());
}

TEST(FreshnessModel, KeepsWorkingThroughTenMinutesWithoutTheTable) {
  deployment_model model({.seed = 7, .quality = network_quality::kReliable});
  model.Run(seconds(30));
  constexpr duration kOutage = minutes(10);
  for (std::size_t entry = 0; entry < model.entries(); ++entry) {
    model.network().Cut(model.table_node(), model.entry_node(entry), kOutage);
  }
  // Two of five voters are lost besides; each daemon keeps at least one link of three.
  model.network().Pause(model.entry_node(0), kOutage);
  model.network().Pause(model.entry_node(1), kOutage);
  for (duration passed{}; passed < kOutage; passed += milliseconds(100)) {
    model.Run(milliseconds(100));
    LONGS_EQUAL(model.daemons(), model.FreshDaemons());
  }
  CHECK(model.counts().stretches > 1000);
  CHECK_FALSE(model.violation().has_value());
}

TEST(FreshnessModel, StopsWithoutTheTableWhenAMajorityIsLost) {
  deployment_model model({.seed = 7, .quality = network_quality::kReliable});
  model.Run(seconds(30));
  for (std::size_t entry = 0; entry < model.entries(); ++entry) {
    model.network().Cut(model.table_node(), model.entry_node(entry), minutes(1));
  }
  for (std::size_t entry = 0; entry < 3; ++entry) {
    model.network().Pause(model.entry_node(entry), minutes(1));
  }
  model.Run(seconds(10));
  LONGS_EQUAL(0, model.FreshDaemons());
}

TEST(FreshnessModel, StopsADaemonThatIsCutOffAndNoOther) {
  deployment_model model({.seed = 9, .quality = network_quality::kReliable});
  model.Run(seconds(30));
  CutFromEntries(model, model.daemon_node(2), minutes(1));
  model.Run(seconds(4));
  for (uint64_t change = 0; change < 20; ++change) {
    model.Apply({disturbance_kind::kCommit, change, {}, seconds(1)});
    LONGS_EQUAL(model.daemons() - 1, model.FreshDaemons());
  }
  LONGS_EQUAL(0, model.counts().stretches);  // so each start was within the limit of the commit
  CHECK_FALSE(model.violation().has_value());
  CHECK(model.counts().claims > 10);
}

}  // namespace wagtail
