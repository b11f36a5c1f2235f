#include "plan/peer_plan.h"

#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

constexpr peer_plan_options kOptions{};
constexpr duration kReportInterval = std::chrono::milliseconds(200);
constexpr duration kChangeInterval = std::chrono::milliseconds(50);
constexpr duration kStorm = std::chrono::seconds(30);

}  // namespace

TEST_GROUP(PeerPlan) {
  peer_plan peer{0};
  instant now{std::chrono::seconds(100)};

  /// A change each kChangeInterval. The peer reports every kReportInterval.
  /// @param reads whether the peer reads each change by itself
  /// @return copies sent to the peer
  unsigned CopiesInAStorm(bool reads) {
    unsigned copies = 0;
    uint64_t peer_has = 10;
    peer.OnPeerHas(peer_has);
    instant next_report = now;
    uint64_t revision = 10;
    for (instant end = now + kStorm; now < end; now += kChangeInterval) {
      ++revision;
      peer_has = reads ? revision : peer_has;
      if (now < next_report) {
        continue;
      }
      next_report = now + kReportInterval;
      if (peer.NeedsCopy(revision, now)) {
        ++copies;
        peer_has = revision;
        peer.OnCopySent(revision);
      }
      peer.OnPeerHas(peer_has);
    }
    return copies;
  }
};

TEST(PeerPlan, APeerThatReadsChangesInQuickSuccessionItselfGetsNoCopy) {
  CHECK_EQUAL(0, CopiesInAStorm(true));
}

TEST(PeerPlan, APeerThatTheStoreDoesNotServeGetsFewCopiesOfManyChanges) {
  unsigned copies = CopiesInAStorm(false);
  CHECK(copies >= kStorm / std::chrono::seconds(1));
  CHECK(copies <= kStorm / kOptions.patience);
}

TEST(PeerPlan, APeerWithoutProgressGetsACopyWithinPatienceAndSpread) {
  for (double place : {0.0, 0.5, 0.999}) {
    peer_plan other(place);
    other.OnPeerHas(10);
    CHECK(!other.NeedsCopy(11, now));
    CHECK(!other.NeedsCopy(11, now + kOptions.patience - Scaled(kOptions.patience, 0.1)));
    CHECK(other.NeedsCopy(12, now + kOptions.patience + kOptions.spread));
  }
}

TEST(PeerPlan, APeerWithoutAnyPlanIsNotKeptWaiting) { CHECK(peer.NeedsCopy(11, now)); }

TEST(PeerPlan, ACopyIsSentOnce) {
  peer.OnPeerHas(10);
  CHECK(!peer.NeedsCopy(11, now));
  now += kOptions.patience;
  CHECK(peer.NeedsCopy(11, now));
  peer.OnCopySent(11);
  peer.OnPeerHas(10);
  CHECK(!peer.NeedsCopy(11, now + kStorm));
}

TEST(PeerPlan, APeerWithANewerPlanNeedsNone) {
  peer.OnPeerHas(12);
  CHECK(!peer.NeedsCopy(11, now));
  CHECK(!peer.NeedsCopy(11, now + kStorm));
}

}  // namespace wagtail
