#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "freshness/newest_configuration.h"
#include "freshness/start_gate.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kEntries = 3;
constexpr size_t kDaemons = 4;
constexpr duration kStep = milliseconds(50);
constexpr duration kMaxDelay = milliseconds(150);

/// Disables one safeguard, to show that the checks detect its absence.
enum class mutation { kNone, kEntriesDoNotQueryPeers, kDaemonsAcceptOlderPolicies };

/// Simulates the propagation of a configuration between entries and daemons in virtual time, with
/// partitions between any two of them and between entries and the table. Messages are delayed at
/// random and reordered.
class spread_simulation {
 public:
  spread_simulation(uint64_t seed, mutation mutation) : random_(seed), mutation_(mutation) {}

  void Run(duration span) {
    for (instant end = now_ + span; now_ < end; now_ += kStep) {
      Deliver();
      Tick();
      Check();
    }
  }
  void Commit(bool admitted) {
    ++committed_;
    admitted_[committed_] = admitted;
    committed_at_ = now_;
  }
  void CutTable(size_t entry, duration span) { table_cut_[entry] = now_ + span; }
  void CutEntries(size_t one, size_t other, duration span) {
    entries_cut_[std::min(one, other)][std::max(one, other)] = now_ + span;
  }
  void CutDaemon(size_t daemon, size_t entry, duration span) {
    daemon_cut_[daemon][entry] = now_ + span;
  }
  void InjectFault() {
    duration span = milliseconds(random_() % 6000);
    switch (random_() % 4) {
      case 0:
        CutTable(random_() % kEntries, span);
        break;
      case 1:
        CutEntries(random_() % kEntries, random_() % kEntries, span);
        break;
      case 2:
        CutDaemon(random_() % kDaemons, random_() % kEntries, span);
        break;
      case 3:
        Commit(random_() % 2 == 0);
        break;
    }
    Run(milliseconds(random_() % 1500));
  }
  bool MayStart(size_t daemon) const { return !gates_[daemon].Check(now_).has_value(); }
  const std::optional<std::string>& violation() const { return violation_; }
  unsigned claims() const { return claims_; }

 private:
  void Send(const std::function<void()>& work) {
    instant when = now_ + duration(static_cast<int64_t>(random_() % kMaxDelay.count()));
    messages_.emplace(when, work);
  }
  void Deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      auto work = messages_.begin()->second;
      messages_.erase(messages_.begin());
      work();
    }
  }
  bool IsCut(size_t one, size_t other) const {
    return entries_cut_[std::min(one, other)][std::max(one, other)] > now_;
  }

  void Tick() {
    if ((now_ - instant{}) % settings_.period >= kStep) {
      return;
    }
    for (size_t entry = 0; entry < kEntries; ++entry) {
      TickEntry(entry);
    }
    for (size_t daemon = 0; daemon < kDaemons; ++daemon) {
      TickDaemon(daemon);
    }
  }
  void TickEntry(size_t entry) {
    if (table_cut_[entry] <= now_) {
      Send([this, entry, started = now_, revision = committed_] {
        table_changes changes{.revision = revision, .rows = {}};
        changes.rows.push_back(
            {.key = std::string(kConfigurationKey), .revision = revision, .value = "text"});
        entries_[entry].OnTableRead(started, changes, now_);
      });
    }
    bool queries_peers =
        entries_[entry].IsTableReadStale(now_) && mutation_ != mutation::kEntriesDoNotQueryPeers;
    for (size_t other = 0; queries_peers && other < kEntries; ++other) {
      if (other != entry && !IsCut(entry, other)) {
        Send([this, entry, other, have = entries_[entry].version()] {
          if (auto row = entries_[other].NewerThan(have); row.has_value()) {
            Send([this, entry, row = *row] { entries_[entry].OnPeerRow(row, now_); });
          }
        });
      }
    }
  }
  void TickDaemon(size_t daemon) {
    for (size_t entry = 0; entry < kEntries; ++entry) {
      if (daemon_cut_[daemon][entry] > now_) {
        continue;
      }
      target_incarnation target{.target = "t-" + std::to_string(daemon), .number = 1};
      Send([this, daemon, entry, target, sent = now_, holds = gates_[daemon].version()] {
        entries_[entry].OnTargetConfirmed(target, holds, now_);
        uint64_t version = entries_[entry].version();
        Send([this, daemon, version, sent] { DeliverPolicy(daemon, version, sent); });
      });
    }
  }
  void DeliverPolicy(size_t daemon, uint64_t version, instant sent) {
    start_gate& gate = gates_[daemon];
    if (mutation_ == mutation::kDaemonsAcceptOlderPolicies) {
      gate = start_gate(settings_);
    }
    uint64_t before = held_versions_[daemon];
    gate.OnPolicy(sent, version, version > 0 && admitted_[version]);
    held_versions_[daemon] = gate.version();
    if (gate.version() < before) {
      violation_ = "a daemon reverted to an older version";
    }
  }

  /// An entry is in contact if it reads the table, or reaches an entry that does.
  bool IsEntryInContact(size_t entry) const {
    if (table_cut_[entry] <= now_) {
      return true;
    }
    for (size_t other = 0; other < kEntries; ++other) {
      if (other != entry && table_cut_[other] <= now_ && !IsCut(entry, other)) {
        return true;
      }
    }
    return false;
  }
  void Check() {
    for (size_t daemon = 0; daemon < kDaemons; ++daemon) {
      bool in_contact = false;
      for (size_t entry = 0; entry < kEntries; ++entry) {
        in_contact = in_contact || (daemon_cut_[daemon][entry] <= now_ && IsEntryInContact(entry));
      }
      in_contact_since_[daemon] = in_contact ? in_contact_since_[daemon] : now_;
      instant due = std::max(in_contact_since_[daemon], committed_at_) + settings_.contact_timeout;
      if (now_ > due && held_versions_[daemon] != committed_) {
        violation_ = "a daemon in contact does not hold the newest version";
      }
    }
    for (const newest_configuration& entry : entries_) {
      CheckClaim(entry);
    }
  }
  void CheckClaim(const newest_configuration& entry) {
    if (!entry.IsInForce(now_)) {
      return;
    }
    ++claims_;
    for (size_t daemon = 0; daemon < kDaemons; ++daemon) {
      bool long_in_contact = now_ - in_contact_since_[daemon] > settings_.contact_timeout;
      if (long_in_contact && held_versions_[daemon] < entry.version()) {
        violation_ = "reported in force while a daemon in contact acts on an older version";
      }
    }
  }

  freshness_settings settings_;
  std::mt19937_64 random_;
  mutation mutation_;
  instant now_{seconds(1000)};
  std::multimap<instant, std::function<void()>> messages_;
  uint64_t committed_ = 1;
  instant committed_at_ = now_;
  std::map<uint64_t, bool> admitted_{{1, true}};
  std::vector<newest_configuration> entries_{kEntries, newest_configuration({})};
  std::vector<start_gate> gates_{kDaemons, start_gate({})};
  std::array<uint64_t, kDaemons> held_versions_{};
  std::array<instant, kDaemons> in_contact_since_{now_, now_, now_, now_};
  std::array<instant, kEntries> table_cut_{};
  std::array<std::array<instant, kEntries>, kEntries> entries_cut_{};
  std::array<std::array<instant, kEntries>, kDaemons> daemon_cut_{};
  std::optional<std::string> violation_;
  unsigned claims_ = 0;
};

/// @return the first seed at which the checks fail, or empty if none does
std::optional<uint64_t> SeedsUntilDetected(mutation fault, uint64_t max_seeds) {
  for (uint64_t seed = 1; seed <= max_seeds; ++seed) {
    spread_simulation simulation(seed, fault);
    for (int step = 0; step < 60; ++step) {
      simulation.InjectFault();
    }
    if (simulation.violation().has_value()) {
      std::printf("seed %lu: %s\n", static_cast<unsigned long>(seed),
                  simulation.violation()->c_str());
      return seed;
    }
    CHECK(simulation.claims() > 0);
  }
  return std::nullopt;
}

}  // namespace

TEST_GROUP(SpreadModel){};

TEST(SpreadModel, ConnectedProcessesReceiveEachChangeAndNeverRevert) {
  CHECK_FALSE(SeedsUntilDetected(mutation::kNone, 300).has_value());
}

TEST(SpreadModel, DetectsEveryMutation) {
  CHECK(SeedsUntilDetected(mutation::kEntriesDoNotQueryPeers, 300).has_value());
  CHECK(SeedsUntilDetected(mutation::kDaemonsAcceptOlderPolicies, 300).has_value());
}

TEST(SpreadModel, StartsContinueThroughTenMinutesWithoutTheTable) {
  spread_simulation simulation(7, mutation::kNone);
  simulation.Run(seconds(10));
  constexpr duration kOutage = std::chrono::minutes(10);
  for (size_t entry = 0; entry < kEntries; ++entry) {
    simulation.CutTable(entry, kOutage);
  }
  // One of three entries is left, and no operator action is needed.
  for (size_t daemon = 0; daemon < kDaemons; ++daemon) {
    simulation.CutDaemon(daemon, 0, kOutage);
    simulation.CutDaemon(daemon, 1, kOutage);
  }
  for (int step = 0; step < 600; ++step) {
    simulation.Run(seconds(1));
    for (size_t daemon = 0; daemon < kDaemons; ++daemon) {
      CHECK(simulation.MayStart(daemon));
    }
  }
  CHECK_FALSE(simulation.violation().has_value());
}

}  // namespace wagtail
