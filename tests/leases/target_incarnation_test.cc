#include "tests/leases/run_controller_fixture.h"

/// @file
/// Announcements, departures and replacement of the target that a run controller uses.

namespace wagtail::leased {

TEST_GROUP_BASE(TargetIncarnation, run_controller_fixture){};

TEST(TargetIncarnation, ARememberedTargetOfAnotherWriterDoesNotOutdateTheRealOne) {
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
TEST(TargetIncarnation, ALateAnnouncementChangesNothingThatIsRememberedOfItsIncarnation) {
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

TEST(TargetIncarnation, ReportsRunsOfAReplacedTargetAsLost) {
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
TEST(TargetIncarnation, AForeignAnnouncementLosesNoRun) {
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
TEST(TargetIncarnation, AForeignAddressReplacesNoTargetInUse) {
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
TEST(TargetIncarnation, ALateAnnouncementLosesNoRunOfARememberedTarget) {
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
TEST(TargetIncarnation, ADepartingTargetLosesNoRunBeforeItHasEnded) {
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
TEST(TargetIncarnation, ADepartedTargetThatIsSilentLosesItsRunsWithTheirLease) {
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
TEST(TargetIncarnation, ALateDepartureOfAnEarlierIncarnationChangesNothing) {
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
TEST(TargetIncarnation, ADepartureThatTellsNoIncarnationEndsNoTargetThatServes) {
  StartFirst();
  controller.OnTargetDeparted({.id = "i-1"}, now);
  CHECK_EQUAL(0, stops.size());
  CHECK(controller.Ready());
  AnnounceDraining();
  controller.OnTargetDeparted({.id = "i-1"}, now);
  CHECK_EQUAL(1, stops.size());
  CHECK(!controller.Ready());
}

TEST(TargetIncarnation, ADepartedTargetWithoutRunsIsForgottenAtOnce) {
  Ready();
  controller.OnTargetDeparted({.id = "i-1", .start_time_ms = 1}, now);
  CHECK(controller.Announced() == nullptr);
}

// Guards against starts on a target that has given notice: a late heartbeat made it serve again.
TEST(TargetIncarnation, ALateAnnouncementOfADepartedTargetDoesNotMakeItServe) {
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
TEST(TargetIncarnation, ATargetThatGoesOnAfterItsNoticeServesAgain) {
  Ready();
  controller.OnTargetDeparted({.id = "i-1", .start_time_ms = 1}, now);
  controller.OnTargetAnnounced(MakeAnnouncement(), now);
  AnswerRenewal();
  CHECK(controller.Ready());
}

// An announced successor that gives no answer is asked again; runs are lost with their lease only.
TEST(TargetIncarnation, ASilentSuccessorIsAskedAgain) {
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
TEST(TargetIncarnation, AnUnusedTargetIsReplacedAtOnce) {
  Ready();
  TargetCrashes();
  controller.OnTargetAnnounced(MakeAnnouncement("i-2", 2), now);
  STRCMP_EQUAL("i-2", controller.Load().target.c_str());
}

// Guards against a target that was out of use for good: the time of day had been set back before it
// started again, and its former start time outdated all announcements of its own.
TEST(TargetIncarnation, ATargetThatStartedAgainAtAnEarlierTimeIsUsedOnceItHasAnswered) {
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
TEST(TargetIncarnation, ALateAnnouncementReplacesNoTargetThatIsUnreachable) {
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
TEST(TargetIncarnation, WaitsForTheListOfANewIncarnationUnderTheSameId) {
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
TEST(TargetIncarnation, AForeignAnnouncementUnderTheSameIdChangesNothing) {
  StartFirst();
  controller.OnTargetAnnounced(MakeAnnouncement("i-1", 2000), now);
  controller.OnRenewAnswered(renewals.back().serial, {.clock_ms = ClockMs(), .start_time_ms = 1},
                             now);
  CHECK_EQUAL(0, results.size());
  CHECK(controller.Ready());
  CHECK_EQUAL(1, controller.Announced()->start_time_ms);
}

// As above, where the foreign announcement is the first.
TEST(TargetIncarnation, AnUnconfirmedAnnouncementOutdatesNoOther) {
  controller.OnTargetAnnounced(MakeAnnouncement("i-1", 2000), now);
  controller.OnRenewAnswered(renewals.back().serial, {.clock_ms = ClockMs(), .start_time_ms = 1},
                             now);
  CHECK(!controller.Ready());
  Ready();
  CHECK_EQUAL(1, controller.Announced()->start_time_ms);
}

// Guards against a target that was out of use for good, and whose leases were taken to end before
// they did: the answer to a start of the former target set the clock of the present one.
TEST(TargetIncarnation, ALateStartAnswerOfAFormerTargetTellsNothingAboutThePresentOne) {
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
TEST(TargetIncarnation, ALateStartAnswerOfAnEarlierIncarnationTellsNothingAboutThePresentOne) {
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

TEST(TargetIncarnation, AnOldAnnouncementChangesNothing) {
  controller.OnTargetAnnounced(MakeAnnouncement("i-2", 2), now);
  AnswerRenewal();
  controller.OnTargetAnnounced(MakeAnnouncement("i-1", 1), now);
  STRCMP_EQUAL("i-2", controller.Load().target.c_str());
}

}  // namespace wagtail::leased
