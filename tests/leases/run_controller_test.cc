#include "leases/run_controller.h"

#include <algorithm>
#include <optional>
#include <set>

#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr instant kStart{std::chrono::seconds(1000)};
constexpr session_id kSession = 7;
constexpr uint64_t kFirstFence = 500;

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

}  // namespace

TEST_GROUP(RunController) {
  std::vector<start_call> starts;
  std::vector<stop_call> stops;
  std::vector<renew_call> renewals;
  std::vector<run_result> results;
  std::set<uint64_t> answered_renewals;
  instant now = kStart;
  uint64_t announcements = 0;
  run_controller controller{run_controller_options{.fence = kFirstFence},
                            [this](const target_call& call) { Record(call); },
                            [this](const run_result& result) { results.push_back(result); },
                            [](const run_log_event&) {}};

  void Record(const target_call& call) {
    if (const auto* start = std::get_if<start_call>(&call)) {
      starts.push_back(*start);
    } else if (const auto* stop = std::get_if<stop_call>(&call)) {
      stops.push_back(*stop);
    } else {
      renewals.push_back(std::get<renew_call>(call));
    }
  }
  int64_t ClockMs() const { return ToMilliseconds(now - kStart) + 9000; }
  target_announcement MakeAnnouncement(const std::string& id = "i-1", int64_t start_time_ms = 1) {
    return {.id = id,
            .start_time_ms = start_time_ms,
            .service = "lights",
            .address = "10.0.0.1:80",
            .domain = "zone-1",
            .capacity = {.cpu = 10'000, .mem_mb = 1000, .gpu = 0},
            .clock_ms = ClockMs(),
            .sequence = ++announcements};
  }
  /// Answers the newest renewal that has no answer yet.
  void AnswerRenewal(const std::vector<reported_run>& running = {},
                     const std::vector<reported_end>& ended = {}) {
    auto open = std::find_if(renewals.rbegin(), renewals.rend(), [this](const renew_call& each) {
      return !answered_renewals.contains(each.serial);
    });
    CHECK(open != renewals.rend());
    answered_renewals.insert(open->serial);
    controller.OnRenewAnswered(open->serial,
                               {.clock_ms = ClockMs(), .running = running, .ended = ended}, now);
  }
  void Ready() {
    controller.OnTargetAnnounced(MakeAnnouncement(), now);
    AnswerRenewal();
    controller.OnSessionOpened(kSession, now);
    CHECK(controller.Ready());
  }
  /// The target announces that it is about to end.
  void AnnounceDraining() {
    target_announcement leaving = MakeAnnouncement();
    leaving.draining = true;
    controller.OnTargetAnnounced(leaving, now);
  }
  /// Starts a first run on a target that serves.
  void StartFirst() {
    Ready();
    controller.Order(MakeOrder(1), now);
    controller.OnStartAnswered(starts.at(0).serial, start_answer::kStarted, ClockMs(), now);
  }
  run_order MakeOrder(uint64_t number, int64_t cpu = 4000, session_id session = kSession) {
    return {.session = session,
            .order = number,
            .task = {.job = "00ff", .step = 0, .index = static_cast<uint32_t>(number)},
            .text = std::make_shared<const std::string>("on"),
            .resources = {.cpu = cpu, .mem_mb = 10, .gpu = 0},
            .estimate = Ms(100)};
  }
  /// Ends a first run after exactly its estimate.
  void LearnSpeed() {
    controller.Order(MakeOrder(100), now);
    controller.OnStartAnswered(starts.at(0).serial, start_answer::kStarted, ClockMs(), now);
    Advance(Ms(100));
    AnswerRenewal({}, {{.number = 1, .task = starts[0].task, .run = 1, .kind = end_kind::kDone}});
  }
  void Advance(duration span) {
    now += span;
    controller.OnReportAnswered(kSession, now);
    controller.Tick(now);
  }
  /// The target's process ends: the open renewal breaks, and so do all later connections.
  void TargetCrashes() {
    controller.OnRenewFailed(renewals.back().serial, renew_failure::kNoAnswer, now);
    controller.OnRenewFailed(renewals.back().serial, renew_failure::kNoListener, now);
  }
  reported_run RunOf(const start_call& start) { return {.task = start.task, .run = start.run}; }
};

TEST(RunController, ALostRunSaysWhetherItHadBegunJustBeforeTheCrash) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts.at(0).serial, start_answer::kStarted, ClockMs(), now);
  Advance(Ms(150));
  AnswerRenewal({RunOf(starts[0])});
  controller.Order(MakeOrder(2), now);
  controller.OnStartAnswered(starts.at(1).serial, start_answer::kStarted, ClockMs(), now);
  now += Ms(10);
  TargetCrashes();
  for (int ticks = 0; ticks < 30 && results.size() < 2; ++ticks) {
    Advance(Ms(50));
  }
  CHECK(results.at(0).outcome == run_outcome::kLost);
  CHECK(results[0].crash == crash_role::kBystander);
  CHECK(results.at(1).outcome == run_outcome::kLost);
  CHECK(results[1].crash == crash_role::kSuspect);
}

TEST(RunController, AStartOnARefusedConnectionIsGivenBackAtOnceAsNotStarted) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts.at(0).serial, start_answer::kNoListener, std::nullopt, now);
  CHECK(results.at(0).outcome == run_outcome::kNotStarted);
  CHECK_EQUAL(0, controller.size());
}

TEST(RunController, ACrashedTargetIsSentNothingMore) {
  Ready();
  TargetCrashes();
  CHECK(controller.Load().state == target_availability::kAbsent);
  controller.Order(MakeOrder(1), now);
  CHECK_EQUAL(0, starts.size());
  CHECK(results.at(0).outcome == run_outcome::kNotStarted);
}

TEST(RunController, AStartWithoutAnAnswerHasNoPartInACrash) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts.at(0).serial, start_answer::kUnknown, std::nullopt, now);
  TargetCrashes();
  for (int ticks = 0; ticks < 30 && results.empty(); ++ticks) {
    Advance(Ms(50));
  }
  CHECK(results.at(0).crash == crash_role::kNone);
}

TEST(RunController, ARunOnATargetThatEndsAsAnnouncedHasNoPartInACrash) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts.at(0).serial, start_answer::kStarted, ClockMs(), now);
  target_announcement leaving = MakeAnnouncement();
  leaving.draining = true;
  controller.OnTargetAnnounced(leaving, now);
  TargetCrashes();
  for (int ticks = 0; ticks < 30 && results.empty(); ++ticks) {
    Advance(Ms(50));
  }
  CHECK(results.at(0).outcome == run_outcome::kLost);
  CHECK(results[0].crash == crash_role::kNone);
}

TEST(RunController, ARunLostOnASilentTargetHasNoPartInACrash) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts.at(0).serial, start_answer::kStarted, ClockMs(), now);
  for (int ticks = 0; ticks < 30 && results.empty(); ++ticks) {
    Advance(Ms(50));
  }
  CHECK(results.at(0).outcome == run_outcome::kLost);
  CHECK(results[0].crash == crash_role::kNone);
}

TEST(RunController, AShrunkCapacityStartsNothingUntilWhatRunsLeavesRoom) {
  Ready();
  controller.Order(MakeOrder(1, 8000), now);
  controller.OnStartAnswered(starts.at(0).serial, start_answer::kStarted, ClockMs(), now);
  target_announcement shrunk = MakeAnnouncement();
  shrunk.capacity.cpu = 6000;
  controller.OnTargetAnnounced(shrunk, now);
  CHECK(controller.Load().free.cpu < 0);
  controller.Order(MakeOrder(2, 2000), now);
  CHECK_EQUAL(1, starts.size());
  Advance(Ms(50));
  AnswerRenewal({}, {{.number = 1, .task = starts[0].task, .run = 1, .kind = end_kind::kDone}});
  controller.Order(MakeOrder(3, 4000), now);
  controller.Order(MakeOrder(4, 4000), now);
  CHECK_EQUAL(2, starts.size());
}

TEST(RunController, AGrownCapacityIsUsedAtOnce) {
  Ready();
  controller.Order(MakeOrder(1, 8000), now);
  target_announcement grown = MakeAnnouncement();
  grown.capacity.cpu = 20'000;
  controller.OnTargetAnnounced(grown, now);
  CHECK_EQUAL(12'000, controller.Load().free.cpu);
  controller.Order(MakeOrder(2, 12'000), now);
  CHECK_EQUAL(2, starts.size());
}

TEST(RunController, ARememberedCapacityOfATargetThatGuardsNoneStartsNothing) {
  controller.SetPlan({.services = {{.name = "lights", .targets_guard_capacity = false}}}, now);
  target_announcement remembered = MakeAnnouncement();
  remembered.is_remembered = true;
  controller.OnTargetAnnounced(remembered, now);
  AnswerRenewal();
  controller.OnSessionOpened(kSession, now);
  controller.Order(MakeOrder(1), now);
  CHECK_EQUAL(0, starts.size());
  CHECK(controller.Load().state == target_availability::kAbsent);
  controller.OnTargetAnnounced(MakeAnnouncement(), now);
  controller.Order(MakeOrder(2), now);
  CHECK_EQUAL(1, starts.size());
}

TEST(RunController, ARememberedTargetOfAnotherWriterDoesNotOutdateTheRealOne) {
  target_announcement odd = MakeAnnouncement("i-odd", 4'000'000'000'000);
  odd.is_remembered = true;
  controller.OnTargetAnnounced(odd, now);
  Ready();
  controller.Order(MakeOrder(1), now);
  STRCMP_EQUAL("i-1", starts.at(0).instance.c_str());
}

// Guards against starts on a target that drains, or beyond a capacity that has shrunk: after a
// start of the agent a late heartbeat of the same incarnation counted more than what the store
// remembered.
TEST(RunController, ALateAnnouncementChangesNothingThatIsRememberedOfItsIncarnation) {
  target_announcement late = MakeAnnouncement();
  target_announcement remembered = MakeAnnouncement();
  remembered.draining = true;
  remembered.is_remembered = true;
  controller.OnTargetAnnounced(remembered, now);
  AnswerRenewal();
  controller.OnTargetAnnounced(late, now);
  CHECK(controller.Announced()->is_remembered);
  CHECK(controller.Announced()->draining);
  controller.OnTargetAnnounced(MakeAnnouncement(), now);
  CHECK(!controller.Announced()->is_remembered);
  CHECK(!controller.Announced()->draining);
}

TEST(RunController, ARememberedTargetThatGuardsItsCapacityServesAtOnce) {
  controller.SetPlan({.services = {{.name = "lights", .targets_guard_capacity = true}}}, now);
  target_announcement remembered = MakeAnnouncement();
  remembered.is_remembered = true;
  controller.OnTargetAnnounced(remembered, now);
  AnswerRenewal();
  controller.OnSessionOpened(kSession, now);
  controller.Order(MakeOrder(1), now);
  CHECK_EQUAL(1, starts.size());
}

TEST(RunController, StartsNothingBeforeTheTargetIsTakenOver) {
  controller.OnSessionOpened(kSession, now);
  controller.OnTargetAnnounced(MakeAnnouncement(), now);
  controller.Order(MakeOrder(1), now);
  CHECK_EQUAL(0, starts.size());
  CHECK(results.at(0).outcome == run_outcome::kNotStarted);
}

TEST(RunController, StopsRunsOfAnEarlierAgentBeforeItServes) {
  controller.OnTargetAnnounced(MakeAnnouncement(), now);
  CHECK(!renewals.back().lease_until_ms.has_value());
  reported_run unknown_run{.task = {.job = "aa", .step = 0, .index = 1}, .run = 3};
  AnswerRenewal({unknown_run});
  CHECK(!controller.Ready());
  CHECK(!controller.Settled());
  CHECK_EQUAL(3, stops.at(0).run);
  CHECK(stops.at(0).fence >= kFirstFence);
  CHECK(!renewals.back().lease_until_ms.has_value());
  AnswerRenewal();
  CHECK(controller.Ready());
  CHECK(controller.Settled());
}

TEST(RunController, NeverExceedsTheResourcesOfItsTarget) {
  Ready();
  for (uint64_t number = 1; number <= 3; ++number) {
    controller.Order(MakeOrder(number), now);
  }
  CHECK_EQUAL(2, starts.size());
  CHECK_EQUAL(2000, controller.Load().free.cpu);
}

TEST(RunController, StoppingRunsStillOccupyResources) {
  Ready();
  controller.Order(MakeOrder(1, 8000), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kStarted, ClockMs(), now);
  controller.Withdraw(kSession, 1, now);
  CHECK_EQUAL(1, stops.size());
  controller.Order(MakeOrder(2, 8000), now);
  CHECK_EQUAL(1, starts.size());
  AnswerRenewal({}, {{.number = 1, .task = starts[0].task, .run = 1, .kind = end_kind::kStopped}});
  CHECK(results.at(1).outcome == run_outcome::kStopped);
  controller.Order(MakeOrder(3, 8000), now);
  CHECK_EQUAL(2, starts.size());
}

// Another target may have free resources, but the entry places the task elsewhere only after this
// refusal.
TEST(RunController, RefusesAtOnceOrdersThatDoNotFit) {
  Ready();
  controller.Order(MakeOrder(1, 8000), now);
  controller.Order(MakeOrder(2, 8000), now);
  CHECK_EQUAL(1, starts.size());
  CHECK_EQUAL(1, results.size());
  CHECK(results[0].outcome == run_outcome::kNotStarted);
  STRCMP_EQUAL("no_room", results[0].reason.c_str());
}

// A caller resubmitted its job through another entry: the newer order waits a limited time for the
// end of the older run.
TEST(RunController, WaitsForTheEndOfAnEarlierRunOfTheTask) {
  constexpr session_id kOther = kSession + 1;
  Ready();
  controller.OnSessionOpened(kOther, now);
  controller.Order(MakeOrder(1, 8000), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kStarted, ClockMs(), now);
  run_order again = MakeOrder(1, 8000, kOther);
  again.run = 2;
  controller.Order(again, now);
  CHECK_EQUAL(1, stops.size());
  CHECK_EQUAL(1, starts.size());
  AnswerRenewal({}, {{.number = 1, .task = starts[0].task, .run = 1, .kind = end_kind::kStopped}});
  CHECK_EQUAL(2, starts.size());
  CHECK_EQUAL(2, starts[1].run);
}

TEST(RunController, RefusesAnOrderThatWaitedTooLongForAnEarlierRun) {
  constexpr session_id kOther = kSession + 1;
  Ready();
  controller.OnSessionOpened(kOther, now);
  controller.Order(MakeOrder(1, 8000), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kStarted, ClockMs(), now);
  controller.Order(MakeOrder(1, 8000, kOther), now);
  Advance(Ms(40));
  CHECK_EQUAL(0, results.size());
  Advance(Ms(30));
  CHECK_EQUAL(1, results.size());
  CHECK(results[0].outcome == run_outcome::kNotStarted);
  STRCMP_EQUAL("no_room", results[0].reason.c_str());
}

// Tasks of several jobs are overdue and no run ends any more: the runs are stopped so that the
// tasks start elsewhere.
TEST(RunController, StopsTheRunsOfAStalledTarget) {
  Ready();
  LearnSpeed();
  for (uint64_t number = 1; number <= 3; ++number) {
    run_order order = MakeOrder(number, 2000);
    order.task.job = number == 1 ? "aa" : "bb";
    controller.Order(order, now);
    controller.OnStartAnswered(starts.at(number).serial, start_answer::kStarted, ClockMs(), now);
  }
  Advance(Ms(240));
  CHECK_EQUAL(0, stops.size());
  Advance(Ms(20));
  CHECK_EQUAL(3, stops.size());
  AnswerRenewal({}, {{.number = 2, .task = starts[1].task, .run = 1, .kind = end_kind::kStopped}});
  CHECK(results.at(1).outcome == run_outcome::kStopped);
  STRCMP_EQUAL("target_stalled", results[1].reason.c_str());
}

// A target on which no run has ended yet may merely be slow.
TEST(RunController, StopsNothingOnATargetOfUnknownSpeed) {
  Ready();
  for (uint64_t number = 1; number <= 3; ++number) {
    run_order order = MakeOrder(number, 2000);
    order.task.job = number == 1 ? "aa" : "bb";
    controller.Order(order, now);
    controller.OnStartAnswered(starts.at(number - 1).serial, start_answer::kStarted, ClockMs(),
                               now);
  }
  Advance(Ms(400));
  CHECK_EQUAL(0, stops.size());
}

// The estimate of a job may be far off, so overdue runs of one job are no evidence of a stall.
TEST(RunController, OverdueRunsOfOneJobAreNoStall) {
  Ready();
  LearnSpeed();
  for (uint64_t number = 1; number <= 4; ++number) {
    controller.Order(MakeOrder(number, 2000), now);
    controller.OnStartAnswered(starts.at(number).serial, start_answer::kStarted, ClockMs(), now);
  }
  Advance(Ms(400));
  CHECK_EQUAL(0, stops.size());
}

TEST(RunController, StopsTheRunsOfASessionWhoseLeaseExpired) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kStarted, ClockMs(), now);
  now += Ms(440);
  controller.Tick(now);
  CHECK_EQUAL(0, stops.size());
  now += Ms(20);
  controller.Tick(now);
  CHECK_EQUAL(1, stops.size());
}

// After a freeze an agent finds an order in its queue and an answer of its target in its socket.
// The session lease has expired and the entry has given up the order.
TEST(RunController, StartsNothingAfterAFreezeBeyondTheSessionLease) {
  Ready();
  controller.Order(MakeOrder(1, 8000), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kStarted, ClockMs(), now);
  controller.Order(MakeOrder(2, 8000), now);
  now += Ms(1500);
  AnswerRenewal({}, {{.number = 1, .task = starts[0].task, .run = 1, .kind = end_kind::kLapsed}});
  CHECK_EQUAL(1, starts.size());
  CHECK_EQUAL(2, results.size());
}

TEST(RunController, ASessionLeaseCountsFromWhenItsReportWasSent) {
  Ready();
  controller.Order(MakeOrder(1), now);
  instant sent = now;
  now += Ms(1000);
  controller.OnReportAnswered(kSession, sent);
  controller.Order(MakeOrder(2), now);
  STRCMP_EQUAL("entry_silent", results.back().reason.c_str());
}

TEST(RunController, DoesNotRenewWhileAStopIsOverdue) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kStarted, ClockMs(), now);
  controller.Withdraw(kSession, 1, now);
  Advance(Ms(100));
  AnswerRenewal({RunOf(starts[0])});
  CHECK(renewals.back().lease_until_ms.has_value());
  Advance(Ms(50));
  AnswerRenewal({RunOf(starts[0])});
  CHECK(!renewals.back().lease_until_ms.has_value());
  CHECK(stops.size() > 1);
}

TEST(RunController, VoidsAnUnansweredStartBeforeReportingIt) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kUnknown, std::nullopt, now);
  CHECK_EQUAL(0, results.size());
  CHECK(renewals.back().fence > starts[0].fence);
  AnswerRenewal();
  CHECK_EQUAL(1, results.size());
  CHECK(results[0].outcome == run_outcome::kVoided);
}

TEST(RunController, KeepsAnUnansweredStartThatTurnsOutToRun) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kUnknown, std::nullopt, now);
  AnswerRenewal({RunOf(starts[0])});
  CHECK_EQUAL(0, results.size());
  AnswerRenewal({}, {{.number = 1, .task = starts[0].task, .run = 1, .kind = end_kind::kDone}});
  CHECK(results.at(0).outcome == run_outcome::kDone);
}

TEST(RunController, StartsAgainWithTheNewFence) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.Order(MakeOrder(2), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kUnknown, std::nullopt, now);
  controller.OnStartAnswered(starts[1].serial, start_answer::kFenced, ClockMs(), now);
  CHECK_EQUAL(3, starts.size());
  CHECK(starts[2].fence > starts[1].fence);
  CHECK_EQUAL(2, starts[2].task.index);
}

TEST(RunController, RaisesTheNumberOfARunThatTheTargetHasSeen) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kStaleRun, ClockMs(), now);
  CHECK(starts.at(1).run > starts[0].run);
}

TEST(RunController, ReportsLostRunsOnceTheirLeaseHasCertainlyExpired) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kStarted, ClockMs(), now);
  for (int step = 0; step < 60; ++step) {
    Advance(Ms(10));
    controller.OnRenewFailed(renewals.back().serial, renew_failure::kNoAnswer, now);
  }
  CHECK_EQUAL(0, results.size());
  CHECK(controller.Load().state == target_availability::kAbsent);
  for (int step = 0; step < 70; ++step) {
    now += Ms(10);
    controller.OnReportAnswered(kSession, now);
    controller.Tick(now);
  }
  CHECK(results.at(0).outcome == run_outcome::kLost);
}

TEST(RunController, ReportsRunsOfAReplacedTargetAsLost) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kStarted, ClockMs(), now);
  controller.OnTargetAnnounced(MakeAnnouncement("i-2", 2), now);
  CHECK_EQUAL(0, results.size());
  STRCMP_EQUAL("i-2", renewals.back().instance.c_str());
  AnswerRenewal();
  CHECK(results.at(0).outcome == run_outcome::kLost);
  CHECK(!controller.Ready());
  AnswerRenewal();
  CHECK(controller.Ready());
}

// Guards against TWICE: a foreign heartbeat ended the target in use, whose tasks began elsewhere
// while they still ran.
TEST(RunController, AForeignAnnouncementLosesNoRun) {
  StartFirst();
  controller.OnTargetAnnounced(MakeAnnouncement("i-foreign", 2000), now);
  CHECK_EQUAL(0, results.size());
  STRCMP_EQUAL("i-foreign", renewals.back().instance.c_str());
  CHECK(!renewals.back().lease_until_ms.has_value());
  controller.OnRenewFailed(renewals.back().serial, renew_failure::kOtherIncarnation, now);
  CHECK_EQUAL(0, results.size());
  STRCMP_EQUAL("i-1", controller.Load().target.c_str());
  controller.Order(MakeOrder(2), now);
  STRCMP_EQUAL("i-1", starts.at(1).instance.c_str());
}

// Guards against TWICE: an announced address where nothing of the target can be asked.
TEST(RunController, AForeignAddressReplacesNoTargetInUse) {
  StartFirst();
  size_t asked = renewals.size();
  target_announcement foreign = MakeAnnouncement("i-foreign", 2000);
  foreign.address = "10.0.0.9:80";
  controller.OnTargetAnnounced(foreign, now);
  CHECK_EQUAL(0, results.size());
  CHECK_EQUAL(asked, renewals.size());
  STRCMP_EQUAL("i-1", controller.Load().target.c_str());
}

// Guards against TWICE: after a start of the agent a late heartbeat replaced the remembered target.
TEST(RunController, ALateAnnouncementLosesNoRunOfARememberedTarget) {
  controller.SetPlan({.services = {{.name = "lights", .targets_guard_capacity = true}}}, now);
  target_announcement remembered = MakeAnnouncement("i-2", 2);
  remembered.is_remembered = true;
  controller.OnTargetAnnounced(remembered, now);
  AnswerRenewal();
  controller.OnSessionOpened(kSession, now);
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts.at(0).serial, start_answer::kStarted, ClockMs(), now);
  controller.OnTargetAnnounced(MakeAnnouncement("i-1", 1), now);
  CHECK_EQUAL(0, results.size());
  controller.OnRenewFailed(renewals.back().serial, renew_failure::kOtherIncarnation, now);
  CHECK_EQUAL(0, results.size());
  STRCMP_EQUAL("i-2", controller.Load().target.c_str());
}

// Guards against TWICE: a target runs on after its notice, until it has been acknowledged or
// longer; its tasks began elsewhere meanwhile.
TEST(RunController, ADepartingTargetLosesNoRunBeforeItHasEnded) {
  StartFirst();
  controller.OnTargetDeparted({.id = "i-1", .start_time_ms = 1}, now);
  CHECK_EQUAL(0, results.size());
  CHECK(!controller.Ready());
  CHECK_EQUAL(1, stops.size());
  AnswerRenewal({}, {{.number = 1, .task = starts[0].task, .run = 1, .kind = end_kind::kStopped}});
  CHECK(results.at(0).outcome == run_outcome::kStopped);
  STRCMP_EQUAL("departed", results[0].reason.c_str());
}

// Guards against TWICE: as above, where the target does not answer any more.
TEST(RunController, ADepartedTargetThatIsSilentLosesItsRunsWithTheirLease) {
  StartFirst();
  instant lease_end = now + run_controller_options{}.lease;
  controller.OnTargetDeparted({.id = "i-1", .start_time_ms = 1}, now);
  while (now < lease_end) {
    CHECK_EQUAL(0, results.size());
    Advance(Ms(20));
    controller.OnRenewFailed(renewals.back().serial, renew_failure::kNoListener, now);
    CHECK(!renewals.back().lease_until_ms.has_value());
  }
  Advance(Ms(60));
  CHECK(results.at(0).outcome == run_outcome::kLost);
  controller.OnTargetAnnounced(MakeAnnouncement("i-2", 2), now);
  STRCMP_EQUAL("i-2", controller.Load().target.c_str());
}

// Guards against TWICE: a Deregister of an earlier incarnation under the same id arrived late and
// ended the present one.
TEST(RunController, ALateDepartureOfAnEarlierIncarnationChangesNothing) {
  StartFirst();
  controller.OnTargetDeparted({.id = "i-1", .start_time_ms = 0}, now);
  CHECK_EQUAL(0, results.size());
  CHECK_EQUAL(0, stops.size());
  CHECK(controller.Ready());
  controller.OnTargetDeparted({.id = "i-1", .start_time_ms = 1}, now);
  CHECK(!controller.Ready());
}

// Guards against lost work: a late Deregister that doesn't tell its incarnation stopped all runs of
// the present one, which has announced no end.
TEST(RunController, ADepartureThatTellsNoIncarnationEndsNoTargetThatServes) {
  StartFirst();
  controller.OnTargetDeparted({.id = "i-1"}, now);
  CHECK_EQUAL(0, stops.size());
  CHECK(controller.Ready());
  AnnounceDraining();
  controller.OnTargetDeparted({.id = "i-1"}, now);
  CHECK_EQUAL(1, stops.size());
  CHECK(!controller.Ready());
}

TEST(RunController, ADepartedTargetWithoutRunsIsForgottenAtOnce) {
  Ready();
  controller.OnTargetDeparted({.id = "i-1", .start_time_ms = 1}, now);
  CHECK(controller.Announced() == nullptr);
}

// Guards against starts on a target that has given notice: a late heartbeat made it serve again.
TEST(RunController, ALateAnnouncementOfADepartedTargetDoesNotMakeItServe) {
  Ready();
  target_announcement late = MakeAnnouncement();
  AnnounceDraining();
  controller.OnTargetDeparted({.id = "i-1", .start_time_ms = 1}, now);
  CHECK(controller.Announced() == nullptr);
  controller.OnTargetAnnounced(late, now);
  CHECK(controller.Announced() == nullptr);
  controller.OnTargetAnnounced(MakeAnnouncement("i-1", 2), now);
  CHECK(controller.Announced() != nullptr);
}

// A target that goes on after its notice, as its later announcements show, is used again.
TEST(RunController, ATargetThatGoesOnAfterItsNoticeServesAgain) {
  Ready();
  controller.OnTargetDeparted({.id = "i-1", .start_time_ms = 1}, now);
  controller.OnTargetAnnounced(MakeAnnouncement(), now);
  AnswerRenewal();
  CHECK(controller.Ready());
}

// An announced successor that gives no answer is asked again; runs are lost with their lease only.
TEST(RunController, ASilentSuccessorIsAskedAgain) {
  StartFirst();
  controller.OnTargetAnnounced(MakeAnnouncement("i-2", 2), now);
  controller.OnRenewFailed(renewals.back().serial, renew_failure::kNoAnswer, now);
  CHECK_EQUAL(0, results.size());
  Advance(Ms(50));
  STRCMP_EQUAL("i-2", renewals.back().instance.c_str());
  AnswerRenewal();
  CHECK(results.at(0).outcome == run_outcome::kLost);
  STRCMP_EQUAL("replaced", results[0].reason.c_str());
}

// A target that has ended and left nothing behind needs no answer of its successor.
TEST(RunController, AnUnusedTargetIsReplacedAtOnce) {
  Ready();
  TargetCrashes();
  controller.OnTargetAnnounced(MakeAnnouncement("i-2", 2), now);
  STRCMP_EQUAL("i-2", controller.Load().target.c_str());
}

// Guards against a target that was out of use for good: the time of day had been set back before it
// started again, and its former start time outdated all announcements of its own.
TEST(RunController, ATargetThatStartedAgainAtAnEarlierTimeIsUsedOnceItHasAnswered) {
  controller.OnTargetAnnounced(MakeAnnouncement("i-1", 5000), now);
  AnswerRenewal();
  TargetCrashes();
  target_announcement restarted = MakeAnnouncement("i-2", 3000);
  controller.OnTargetAnnounced(restarted, now);
  STRCMP_EQUAL("i-1", controller.Announced()->id.c_str());
  STRCMP_EQUAL("i-2", renewals.back().instance.c_str());
  AnswerRenewal();
  STRCMP_EQUAL("i-2", controller.Announced()->id.c_str());
  AnswerRenewal();
  CHECK(controller.Ready());
}

// A late announcement of an earlier incarnation, while the target in use does not answer for a
// time.
TEST(RunController, ALateAnnouncementReplacesNoTargetThatIsUnreachable) {
  controller.OnTargetAnnounced(MakeAnnouncement("i-2", 2), now);
  AnswerRenewal();
  TargetCrashes();
  controller.OnTargetAnnounced(MakeAnnouncement("i-1", 1), now);
  controller.OnRenewFailed(renewals.back().serial, renew_failure::kOtherIncarnation, now);
  STRCMP_EQUAL("i-2", controller.Announced()->id.c_str());
  Advance(Ms(60));
  AnswerRenewal();
  CHECK(controller.Ready());
}

// Starts sent just before the restart may have reached the new incarnation, whose lease may be as
// long as the maximum.
TEST(RunController, WaitsForTheListOfANewIncarnationUnderTheSameId) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kStarted, ClockMs(), now);
  target_announcement restarted = MakeAnnouncement("i-1", 2);
  restarted.clock_ms = 3;
  controller.OnTargetAnnounced(restarted, now);
  CHECK_EQUAL(0, results.size());
  controller.OnRenewAnswered(renewals.back().serial, {.clock_ms = 4, .start_time_ms = 2}, now);
  CHECK_EQUAL(0, results.size());
  controller.OnRenewAnswered(renewals.back().serial, {.clock_ms = 5, .start_time_ms = 2}, now);
  CHECK(results.at(0).outcome == run_outcome::kLost);
}

// Guards against a target that was out of use for good: a foreign announcement under its own id,
// with a later start time, outdated all announcements of its own.
TEST(RunController, AForeignAnnouncementUnderTheSameIdChangesNothing) {
  StartFirst();
  controller.OnTargetAnnounced(MakeAnnouncement("i-1", 2000), now);
  controller.OnRenewAnswered(renewals.back().serial, {.clock_ms = ClockMs(), .start_time_ms = 1},
                             now);
  CHECK_EQUAL(0, results.size());
  CHECK(controller.Ready());
  CHECK_EQUAL(1, controller.Announced()->start_time_ms);
}

// As above, where the foreign announcement is the first.
TEST(RunController, AnUnconfirmedAnnouncementOutdatesNoOther) {
  controller.OnTargetAnnounced(MakeAnnouncement("i-1", 2000), now);
  controller.OnRenewAnswered(renewals.back().serial, {.clock_ms = ClockMs(), .start_time_ms = 1},
                             now);
  CHECK(!controller.Ready());
  Ready();
  CHECK_EQUAL(1, controller.Announced()->start_time_ms);
}

// Guards against a target that was out of use for good, and whose leases were taken to end before
// they did: the answer to a start of the former target set the clock of the present one.
TEST(RunController, ALateStartAnswerOfAFormerTargetTellsNothingAboutThePresentOne) {
  Ready();
  controller.Order(MakeOrder(1), now);
  target_announcement next = MakeAnnouncement("i-2", 2);
  next.clock_ms = 3;
  controller.OnTargetAnnounced(next, now);
  controller.OnRenewAnswered(renewals.back().serial, {.clock_ms = 4, .start_time_ms = 2}, now);
  STRCMP_EQUAL("i-2", controller.Announced()->id.c_str());
  controller.OnStartAnswered(starts.at(0).serial, start_answer::kStarted, ClockMs(), now);
  controller.OnRenewAnswered(renewals.back().serial, {.clock_ms = 5, .start_time_ms = 2}, now);
  CHECK(controller.Ready());
  CHECK_EQUAL(5 + ToMilliseconds(run_controller_options{}.lease),
              renewals.back().lease_until_ms.value_or(0));
}

// As above, under the id of the former target.
TEST(RunController, ALateStartAnswerOfAnEarlierIncarnationTellsNothingAboutThePresentOne) {
  Ready();
  controller.Order(MakeOrder(1), now);
  target_announcement restarted = MakeAnnouncement("i-1", 2);
  restarted.clock_ms = 3;
  controller.OnTargetAnnounced(restarted, now);
  controller.OnRenewAnswered(renewals.back().serial, {.clock_ms = 4, .start_time_ms = 2}, now);
  controller.OnStartAnswered(starts.at(0).serial, start_answer::kStarted, ClockMs(), now);
  controller.OnRenewAnswered(renewals.back().serial, {.clock_ms = 5, .start_time_ms = 2}, now);
  CHECK(controller.Ready());
}

TEST(RunController, AnOldAnnouncementChangesNothing) {
  controller.OnTargetAnnounced(MakeAnnouncement("i-2", 2), now);
  AnswerRenewal();
  controller.OnTargetAnnounced(MakeAnnouncement("i-1", 1), now);
  STRCMP_EQUAL("i-2", controller.Load().target.c_str());
}

TEST(RunController, StartsNothingOnADrainingTarget) {
  Ready();
  target_announcement leaving = MakeAnnouncement();
  leaving.draining = true;
  controller.OnTargetAnnounced(leaving, now);
  controller.Order(MakeOrder(1), now);
  CHECK_EQUAL(0, starts.size());
  CHECK(controller.Load().state == target_availability::kDraining);
}

TEST(RunController, StartsNothingInALeavingDomain) {
  Ready();
  operating_plan plan{.revision = 1, .version = 1};
  plan.leaving_domains.insert("zone-1");
  controller.SetPlan(plan, now);
  controller.Order(MakeOrder(1), now);
  CHECK_EQUAL(0, starts.size());
  plan.leaving_domains.clear();
  controller.SetPlan(plan, now);
  controller.Order(MakeOrder(2), now);
  CHECK_EQUAL(1, starts.size());
}

TEST(RunController, TheNewerOfTwoEntriesIsServed) {
  Ready();
  constexpr session_id kOther = 8;
  controller.OnSessionOpened(kOther, now);
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kStarted, ClockMs(), now);
  controller.Order(MakeOrder(1, 4000, kOther), now);
  CHECK_EQUAL(1, starts.size());
  CHECK_EQUAL(1, stops.size());
  AnswerRenewal({}, {{.number = 1, .task = starts[0].task, .run = 1, .kind = end_kind::kStopped}});
  CHECK_EQUAL(2, starts.size());
}

TEST(RunController, IsNotSettledWhileRunsOfAClosedSessionMayBeThere) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts[0].serial, start_answer::kStarted, ClockMs(), now);
  controller.OnSessionClosed(kSession, now);
  CHECK(!controller.Settled());
  AnswerRenewal({}, {{.number = 1, .task = starts[0].task, .run = 1, .kind = end_kind::kStopped}});
  CHECK(controller.Settled());
}

TEST(RunController, AcknowledgesEndsItDoesNotKnow) {
  Ready();
  AnswerRenewal({}, {{.number = 41, .task = {.job = "bb"}, .run = 1, .kind = end_kind::kDone}});
  CHECK_EQUAL(41, renewals.back().last_end);
}

TEST(RunController, ATargetThatLosesSingleAnswersGoesOnToServe) {
  Ready();
  controller.Order(MakeOrder(1), now);
  controller.OnStartAnswered(starts.at(0).serial, start_answer::kStarted, ClockMs(), now);
  AnswerRenewal({RunOf(starts[0])});
  for (unsigned lost = 0; lost < 2; ++lost) {
    Advance(Ms(20));
    controller.OnRenewFailed(renewals.back().serial, renew_failure::kNoAnswer, now);
  }
  CHECK(controller.Ready());
  Advance(Ms(100));
  controller.OnRenewFailed(renewals.back().serial, renew_failure::kNoAnswer, now);
  CHECK(!controller.Ready());
}

}  // namespace wagtail::leased
