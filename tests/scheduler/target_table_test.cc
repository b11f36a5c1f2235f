#include "scheduler/target_table.h"

#include <CppUTest/TestHarness.h>

namespace wagtail::leased {
namespace {

constexpr instant kStart{std::chrono::seconds(1000)};

duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

}  // namespace

TEST_GROUP(TargetTable) {
  target_table table{target_table_options{}};
  instant now = kStart;

  session_report Report(double slowness = 1, int64_t free_cpu = 64'000) {
    return {.load = {.state = target_availability::kServing,
                     .service = "lights",
                     .capacity = {.cpu = 64'000, .mem_mb = 1000, .gpu = 0},
                     .free = {.cpu = free_cpu, .mem_mb = 1000, .gpu = 0},
                     .slowness = slowness}};
  }
  void Add(session_id session, const session_report& report, const std::string& domain = "zone-1") {
    std::string address = "agent-" + std::to_string(session);
    table.OnSessionOpened(session, {.name = address, .address = address, .domain = domain}, now);
    table.OnReport(session, report, now);
  }
  target_table::task_demand Demand(int64_t cpu = 6000) {
    return {.service = "lights", .resources = {.cpu = cpu, .mem_mb = 10}, .estimate = Ms(100)};
  }
};

TEST(TargetTable, ChoosesTheFasterTarget) {
  Add(1, Report(2.0));
  Add(2, Report(0.8));
  CHECK_EQUAL(2, table.Choose(Demand(), now)->session);
  CHECK_EQUAL(80, ToMilliseconds(*table.FastRunTime("lights", Ms(100), now)));
}

// Entries in several failure domains share the targets: each prefers those in its own domain.
TEST(TargetTable, PrefersItsOwnFailureDomain) {
  target_table near{target_table_options{.domain = "zone-2"}};
  near.OnSessionOpened(1, {.name = "a", .address = "a", .domain = "zone-1"}, now);
  near.OnSessionOpened(2, {.name = "b", .address = "b", .domain = "zone-2"}, now);
  near.OnReport(1, Report(1.0), now);
  near.OnReport(2, Report(1.1), now);
  CHECK_EQUAL(2, near.Choose(Demand(), now)->session);
  near.OnReport(2, Report(1.5), now);
  CHECK_EQUAL(1, near.Choose(Demand(), now)->session);
}

// Reported speeds are estimates: the fastest of many targets is usually one whose speed is
// overestimated.
TEST(TargetTable, OneOverestimatedTargetDoesNotSetTheFastRunTime) {
  Add(1, Report(0.4));
  for (session_id session = 2; session <= 6; ++session) {
    Add(session, Report(1.0));
  }
  Add(7, Report(2.0));
  Add(8, Report(2.0));
  CHECK_EQUAL(100, ToMilliseconds(*table.FastRunTime("lights", Ms(100), now)));
}

TEST(TargetTable, CountsOnAnEqualPartOfWhatEntriesShare) {
  session_report shared = Report(1.0, 0);
  shared.entries = 4;
  Add(1, shared);
  DOUBLES_EQUAL(16'000, table.CapacityShare("lights", now), 1);
}

TEST(TargetTable, CapacityOfASlowTargetCountsForLess) {
  session_report slow = Report(2.0, 0);
  slow.entries = 1;
  Add(1, slow);
  DOUBLES_EQUAL(32'000, table.CapacityShare("lights", now), 1);
}

TEST(TargetTable, CountsTheTasksThatCouldStartNow) {
  Add(1, Report(1.0, 28'000));
  Add(2, Report(2.0, 11'000));
  Add(3, Report(1.0, -6000));
  CHECK_EQUAL(5, table.StartableTasks(Demand(), now));
  table.Ordered(1, 1, Demand().resources, now);
  CHECK_EQUAL(4, table.StartableTasks(Demand(), now));
}

// Tasks that wait for memory or an accelerator were counted as ones that could start.
TEST(TargetTable, CountsTheTasksForWhichThereIsMemory) {
  session_report report = Report();
  report.load.capacity.gpu = 4;
  report.load.free = {.cpu = 64'000, .mem_mb = 500, .gpu = 1};
  Add(1, report);
  target_table::task_demand demand = Demand();
  demand.resources.mem_mb = 200;
  CHECK_EQUAL(2, table.StartableTasks(demand, now));
  demand.resources.gpu = 1;
  CHECK_EQUAL(1, table.StartableTasks(demand, now));
  demand.resources.gpu = 2;
  CHECK_EQUAL(0, table.StartableTasks(demand, now));
  CHECK(!table.Choose(demand, now).has_value());
}

// A task that needs nearly a whole target never started, although a target was idle.
TEST(TargetTable, AnIdleTargetStartsATaskThatLeavesNoReserve) {
  Add(1, Report(1.0, 64'000));
  target_table::task_demand large = Demand();
  large.resources.cpu = 60'000;
  large.reserved_share = 0.12;
  CHECK(table.Choose(large, now).has_value());
  CHECK_EQUAL(1, table.StartableTasks(large, now));
}

TEST(TargetTable, CountsWhatItOrderedUntilTheAgentDoes) {
  Add(1, Report(1, 10'000));
  table.Ordered(1, 4, {.cpu = 6000, .mem_mb = 10}, now);
  CHECK(!table.Choose(Demand(), now).has_value());
  session_report seen = Report(1, 10'000);
  seen.orders_seen = 4;
  table.OnReport(1, seen, now);
  CHECK(table.Choose(Demand(), now).has_value());
}

TEST(TargetTable, LeavesOutWhatCantServe) {
  Add(1, Report(), "zone-2");
  operating_plan plan;
  plan.leaving_domains.insert("zone-2");
  table.SetPlan(plan);
  CHECK(!table.Choose(Demand(), now).has_value());
  CHECK(!table.CouldHold(Demand(), now));
  session_report draining = Report();
  draining.load.state = target_availability::kDraining;
  Add(2, draining);
  CHECK(!table.Choose(Demand(), now).has_value());
  Add(3, Report());
  CHECK(!table.CouldHold(Demand(70'000), now));
  CHECK(table.Choose(Demand(), now).has_value());
}

TEST(TargetTable, AnUnresponsiveAgentGetsNothing) {
  Add(1, Report());
  now += Ms(400);
  CHECK(!table.Choose(Demand(), now).has_value());
  CHECK_EQUAL(1, table.Unresponsive(Ms(300), now).size());
}

TEST(TargetTable, AFailingTargetGetsPeriodicProbes) {
  session_report failing = Report();
  failing.load.failing = 0.9;
  Add(1, failing);
  CHECK(table.Choose(Demand(), now).has_value());
  table.Ordered(1, 1, Demand().resources, now);
  CHECK(!table.Choose(Demand(), now).has_value());
  now += Ms(200);
  table.OnReport(1, failing, now);
  CHECK(!table.Choose(Demand(), now).has_value());
  now += Ms(400);
  table.OnReport(1, failing, now);
  CHECK(table.Choose(Demand(), now).has_value());
}

// Tasks of a job that go to the same target share one message.
TEST(TargetTable, TasksGoToOneTargetWhileItHasRoom) {
  Add(1, Report(1.05));
  Add(2, Report(1.0, 12'000));
  for (uint64_t order = 1; order <= 2; ++order) {
    CHECK_EQUAL(2, table.Choose(Demand(), now)->session);
    table.Ordered(2, order, Demand().resources, now);
  }
  CHECK_EQUAL(1, table.Choose(Demand(), now)->session);
}

TEST(TargetTable, WaitsForAFasterTargetThatIsStillInTime) {
  Add(1, Report(3.0));
  Add(2, Report(1.0, -6000));
  target_table::task_demand demand = Demand();
  demand.time_left = Ms(200);
  CHECK(!table.Choose(demand, now).has_value());
  demand.time_left = Ms(110);
  CHECK_EQUAL(1, table.Choose(demand, now)->session);
}

TEST(TargetTable, AvoidsWhereATaskHasFailed) {
  Add(1, Report(0.5));
  Add(2, Report(1.0));
  std::vector<std::string> excluded = {"agent-1"};
  target_table::task_demand demand = Demand();
  demand.excluded = &excluded;
  CHECK_EQUAL(2, table.Choose(demand, now)->session);
}

}  // namespace wagtail::leased
