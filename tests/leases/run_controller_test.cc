#include "tests/leases/run_controller_fixture.h"

namespace wagtail::leased {

TEST_GROUP_BASE(RunController, run_controller_fixture){};

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

// Orders of several entries together must not flood a target either.
TEST(RunController, RefusesTasksThatAskForNothingBeyondALimit) {
  Ready();
  for (uint64_t number = 1; number <= kMaxTasksPerTarget + 1; ++number) {
    run_order order = MakeOrder(number);
    order.resources = {};
    controller.Order(order, now);
  }
  CHECK_EQUAL(kMaxTasksPerTarget, starts.size());
  CHECK_EQUAL(1, results.size());
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

// Jobs without estimates made a target count as stalled, and its ordinary jobs were stopped too.
TEST(RunController, RunsOfUsualDurationAreNoStallWhateverWasEstimated) {
  Ready();
  LearnSpeed();
  for (uint64_t number = 1; number <= 3; ++number) {
    run_order order = MakeOrder(number, 2000);
    order.task.job = number == 1 ? "aa" : "bb";
    order.estimate = Ms(static_cast<int64_t>(number) - 1);
    controller.Order(order, now);
    controller.OnStartAnswered(starts.at(number).serial, start_answer::kStarted, ClockMs(), now);
  }
  Advance(Ms(240));
  CHECK_EQUAL(0, stops.size());
  Advance(Ms(20));
  CHECK_EQUAL(3, stops.size());
}

// Tasks whose estimates are too low were stopped in each of their runs, and the target took orders
// for probes only.
TEST(RunController, ATaskThatIsOverdueAgainIsNoStall) {
  Ready();
  LearnSpeed();
  for (uint64_t number = 1; number <= 3; ++number) {
    run_order order = MakeOrder(number, 2000);
    order.task.job = number == 1 ? "aa" : "bb";
    order.run = 2;
    controller.Order(order, now);
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
