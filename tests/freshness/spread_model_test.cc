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
constexpr duration kLongestWay = milliseconds(150);

/// Leaves one safeguard out, to show that the checks notice.
enum class mutation { kNone, kEntriesDoNotAsk, kDaemonsTakeAnyPolicy };

/// Entries and daemons that spread a configuration over virtual time, with cuts between any two and
/// between entries and the table. Messages are delayed at random and overtake one another.
class spread_world {
 public:
  spread_world(uint64_t seed, mutation mutation) : random_(seed), mutation_(mutation) {}

  void Run(duration span) {
    for (instant end = now_ + span; now_ < end; now_ += kStep) {
      Deliver();
      Turn();
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
  void Disturb() {
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
  void Post(const std::function<void()>& work) {
    instant when = now_ + duration(static_cast<int64_t>(random_() % kLongestWay.count()));
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

  void Turn() {
    if ((now_ - instant{}) % settings_.period >= kStep) {
      return;
    }
    for (size_t entry = 0; entry < kEntries; ++entry) {
      EntryTurn(entry);
    }
    for (size_t daemon = 0; daemon < kDaemons; ++daemon) {
      DaemonTurn(daemon);
    }
  }
  void EntryTurn(size_t entry) {
    if (table_cut_[entry] <= now_) {
      Post([this, entry, started = now_, revision = committed_] {
        table_changes changes{.revision = revision, .rows = {}};
        changes.rows.push_back(
            {.key = std::string(kConfigurationKey), .revision = revision, .value = "text"});
        entries_[entry].OnTableRead(started, changes, now_);
      });
    }
    bool asks = entries_[entry].IsTableReadStale(now_) && mutation_ != mutation::kEntriesDoNotAsk;
    for (size_t other = 0; asks && other < kEntries; ++other) {
      if (other != entry && !IsCut(entry, other)) {
        Post([this, entry, other, have = entries_[entry].version()] {
          if (auto row = entries_[other].NewerThan(have); row.has_value()) {
            Post([this, entry, row = *row] { entries_[entry].OnPeerRow(row, now_); });
          }
        });
      }
    }
  }
  void DaemonTurn(size_t daemon) {
    for (size_t entry = 0; entry < kEntries; ++entry) {
      if (daemon_cut_[daemon][entry] > now_) {
        continue;
      }
      target_incarnation target{.target = "t-" + std::to_string(daemon), .number = 1};
      Post([this, daemon, entry, target, sent = now_, holds = gates_[daemon].version()] {
        entries_[entry].OnTargetConfirmed(target, holds, now_);
        uint64_t version = entries_[entry].version();
        Post([this, daemon, version, sent] { TellPolicy(daemon, version, sent); });
      });
    }
  }
  void TellPolicy(size_t daemon, uint64_t version, instant sent) {
    start_gate& gate = gates_[daemon];
    if (mutation_ == mutation::kDaemonsTakeAnyPolicy) {
      gate = start_gate(settings_);
    }
    uint64_t before = held_[daemon];
    gate.OnPolicy(sent, version, version > 0 && admitted_[version]);
    held_[daemon] = gate.version();
    if (gate.version() < before) {
      violation_ = "a daemon went back to an older version";
    }
  }

  /// An entry is in touch if it reads the table, or reaches an entry that does.
  bool EntryInTouch(size_t entry) const {
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
      bool in_touch = false;
      for (size_t entry = 0; entry < kEntries; ++entry) {
        in_touch = in_touch || (daemon_cut_[daemon][entry] <= now_ && EntryInTouch(entry));
      }
      in_touch_since_[daemon] = in_touch ? in_touch_since_[daemon] : now_;
      instant due = std::max(in_touch_since_[daemon], committed_at_) + settings_.contact_limit;
      if (now_ > due && held_[daemon] != committed_) {
        violation_ = "a daemon in touch does not know the newest version";
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
      bool long_in_touch = now_ - in_touch_since_[daemon] > settings_.contact_limit;
      if (long_in_touch && held_[daemon] < entry.version()) {
        violation_ = "called in force, and a daemon in touch acts on an older version";
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
  std::array<uint64_t, kDaemons> held_{};
  std::array<instant, kDaemons> in_touch_since_{now_, now_, now_, now_};
  std::array<instant, kEntries> table_cut_{};
  std::array<std::array<instant, kEntries>, kEntries> entries_cut_{};
  std::array<std::array<instant, kEntries>, kDaemons> daemon_cut_{};
  std::optional<std::string> violation_;
  unsigned claims_ = 0;
};

/// @return seeds until the checks notice something, or empty if they never do
std::optional<uint64_t> SeedsUntilNoticed(mutation fault, uint64_t most) {
  for (uint64_t seed = 1; seed <= most; ++seed) {
    spread_world world(seed, fault);
    for (int step = 0; step < 60; ++step) {
      world.Disturb();
    }
    if (world.violation().has_value()) {
      std::printf("seed %lu: %s\n", static_cast<unsigned long>(seed), world.violation()->c_str());
      return seed;
    }
    CHECK(world.claims() > 0);
  }
  return std::nullopt;
}

}  // namespace

TEST_GROUP(SpreadModel){};

TEST(SpreadModel, ConnectedProcessesReceiveEachChangeAndNeverRevert) {
  CHECK_FALSE(SeedsUntilNoticed(mutation::kNone, 300).has_value());
}

TEST(SpreadModel, DetectsEveryMutation) {
  CHECK(SeedsUntilNoticed(mutation::kEntriesDoNotAsk, 300).has_value());
  CHECK(SeedsUntilNoticed(mutation::kDaemonsTakeAnyPolicy, 300).has_value());
}

TEST(SpreadModel, StartsContinueThroughTenMinutesWithoutTheTable) {
  spread_world world(7, mutation::kNone);
  world.Run(seconds(10));
  constexpr duration kOutage = std::chrono::minutes(10);
  for (size_t entry = 0; entry < kEntries; ++entry) {
    world.CutTable(entry, kOutage);
  }
  // Of three entries one is left, and nothing needs an operator's word.
  for (size_t daemon = 0; daemon < kDaemons; ++daemon) {
    world.CutDaemon(daemon, 0, kOutage);
    world.CutDaemon(daemon, 1, kOutage);
  }
  for (int step = 0; step < 600; ++step) {
    world.Run(seconds(1));
    for (size_t daemon = 0; daemon < kDaemons; ++daemon) {
      CHECK(world.MayStart(daemon));
    }
  }
  CHECK_FALSE(world.violation().has_value());
}

}  // namespace wagtail
