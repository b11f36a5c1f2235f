#include "scheduler/queue_history.h"

#include <cmath>

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr instant kNow{std::chrono::seconds(1000)};
constexpr double kTolerance = 1e-6;

}  // namespace

TEST_GROUP(QueueHistory) {
  queue_history history{{.job_weight = 0.5, .rate_window = std::chrono::seconds(1)}};
};

TEST(QueueHistory, AnUnknownQueueHasLostNothing) {
  DOUBLES_EQUAL(1, history.MeansOf("a").served, kTolerance);
  DOUBLES_EQUAL(0, history.MeansOf("a").work, kTolerance);
  DOUBLES_EQUAL(0, history.RateOf("lights", kNow), kTolerance);
}

// The first job sets the mean: a mean that starts at zero would let a new queue with large jobs
// pass as one with small jobs.
TEST(QueueHistory, TheFirstJobSetsTheMeanWork) {
  history.OnArrived("a", 100);
  DOUBLES_EQUAL(100, history.MeansOf("a").work, kTolerance);
  history.OnArrived("a", 200);
  DOUBLES_EQUAL(150, history.MeansOf("a").work, kTolerance);
  DOUBLES_EQUAL(0, history.MeansOf("b").work, kTolerance);
}

TEST(QueueHistory, RefusalsLowerTheServedShareAndServedJobsRaiseIt) {
  history.OnArrived("a", 100);
  history.OnEnded("a", false);
  DOUBLES_EQUAL(0.5, history.MeansOf("a").served, kTolerance);
  history.OnEnded("a", true);
  DOUBLES_EQUAL(0.75, history.MeansOf("a").served, kTolerance);
}

TEST(QueueHistory, TheEndOfAJobOfAnUnknownQueueIsIgnored) {
  history.OnEnded("a", false);
  DOUBLES_EQUAL(1, history.MeansOf("a").served, kTolerance);
}

// A rate that never decayed would let the load of a past burst count as demand for ever.
TEST(QueueHistory, TheRateDecaysWithTime) {
  history.OnAdmitted("lights", 1e6, kNow);
  DOUBLES_EQUAL(1, history.RateOf("lights", kNow), kTolerance);
  DOUBLES_EQUAL(std::exp(-1.0), history.RateOf("lights", kNow + std::chrono::seconds(1)),
                kTolerance);
  DOUBLES_EQUAL(0, history.RateOf("lights", kNow + std::chrono::minutes(1)), kTolerance);
}

TEST(QueueHistory, ASteadyLoadHasItsOwnRate) {
  constexpr double kWork = 50'000;
  constexpr duration kPause = std::chrono::milliseconds(10);
  instant at = kNow;
  for (int job = 0; job < 1000; ++job) {
    at += kPause;
    history.OnAdmitted("lights", kWork, at);
  }
  DOUBLES_EQUAL(5, history.RateOf("lights", at), 0.05);  // 100 jobs a second
}

// Another service's work must not take capacity from this one.
TEST(QueueHistory, ServicesAreCountedApart) {
  history.OnAdmitted("lights", 1e6, kNow);
  DOUBLES_EQUAL(0, history.RateOf("doors", kNow), kTolerance);
}

// Reports may be handled with a slightly earlier time than the last job.
TEST(QueueHistory, AnEarlierTimeDoesNotRaiseTheRate) {
  history.OnAdmitted("lights", 1e6, kNow);
  DOUBLES_EQUAL(1, history.RateOf("lights", kNow - std::chrono::seconds(1)), kTolerance);
}

}  // namespace wagtail::leased
