#include <rapidcheck.h>

#include <algorithm>

#include "tests/placement/placement_fixture.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

constexpr size_t kTargets = 5;

/// What the test itself knows of a target.
struct shadow {
  bool announced = true;
  bool admitted = true;
  bool reachable = true;
  uint32_t outstanding = 0;
};

enum class step { kPick, kResult, kRefuse, kLose, kAdmit, kReach, kAnnounce, kPass, kCount };

class random_run {
 public:
  explicit random_run(const placement_options& options)
      : fixture_(kTargets, options), shadows_(kTargets) {}

  void Do(step what, size_t target, uint32_t detail) {
    shadow& known = shadows_[target];
    const target_incarnation name = TargetNamed(target);
    const target_load load = {.running = detail % 5, .queued = detail % 3};
    const duration run(1 + detail * 997);
    if (what == step::kPick) {
      Pick(name);
    } else if (what == step::kResult && Conclude(known)) {
      fixture_.pool.OnResult(name, static_cast<task_outcome>(detail % 3), run, load, fixture_.now);
    } else if (what == step::kRefuse && Conclude(known)) {
      fixture_.pool.OnRefused(name, load, fixture_.now);
    } else if (what == step::kLose && Conclude(known)) {
      fixture_.pool.OnLost(name, fixture_.now);
    } else if (what == step::kAdmit && known.announced) {
      known.admitted = detail % 2 == 0;
      fixture_.pool.SetAdmitted(name, known.admitted, fixture_.now);
    } else if (what == step::kReach && known.announced) {
      known.reachable = detail % 2 == 0;
      fixture_.pool.SetReachable(name, known.reachable, fixture_.now);
    } else if (what == step::kAnnounce) {
      Announce(target, detail % 2 == 0);
    } else if (what == step::kPass) {
      fixture_.now += run;
    }
  }

  /// Ends every task and tells whether a waiting task is picked within a minute, given that a
  /// target is usable.
  bool IsServedInTheEnd() {
    for (size_t target = 0; target < kTargets; ++target) {
      while (Conclude(shadows_[target])) {
        fixture_.pool.OnLost(TargetNamed(target), fixture_.now);
      }
    }
    if (std::ranges::none_of(shadows_, IsUsable)) {
      return true;
    }
    const instant give_up = fixture_.now + std::chrono::minutes(1);
    while (fixture_.now < give_up) {
      if (fixture_.pool.Pick("lights", {}, {}, fixture_.now).has_value()) {
        return true;
      }
      fixture_.now = fixture_.pool.NextWake(fixture_.now).value_or(give_up);
    }
    return false;
  }

 private:
  static bool IsUsable(const shadow& known) {
    return known.announced && known.admitted && known.reachable;
  }

  static bool Conclude(shadow& known) {
    if (known.outstanding == 0) {
      return false;
    }
    --known.outstanding;
    return true;
  }

  void Pick(const target_incarnation& excluded) {
    const auto picked = fixture_.Send({&excluded, 1});
    if (!picked.has_value()) {
      return;
    }
    RC_ASSERT(*picked != excluded);
    shadow& known = shadows_[static_cast<size_t>(picked->target.back() - '0')];
    RC_ASSERT(IsUsable(known));
    ++known.outstanding;
    RC_ASSERT(known.outstanding <= placement_fixture::kSlots + placement_options{}.local_queue);
    RC_ASSERT(known.outstanding == fixture_.pool.OutstandingAt(*picked));
  }

  void Announce(size_t target, bool announced) {
    if (announced && !shadows_[target].announced) {
      fixture_.Add(target);
      shadows_[target] = {.outstanding = shadows_[target].outstanding};
    }
    if (!announced) {
      fixture_.pool.RemoveTarget(TargetNamed(target));
    }
    shadows_[target].announced = announced;
  }

  placement_fixture fixture_;
  std::vector<shadow> shadows_;
};

bool HoldsFor(placement_policy policy) {
  return rc::check([policy] {
    placement_options options;
    options.policy = policy;
    options.seed = *rc::gen::inRange<uint64_t>(0, 1000);
    random_run run(options);
    const auto length = *rc::gen::inRange<size_t>(0, 400);
    for (size_t position = 0; position < length; ++position) {
      // Picks come up more often than the rest, so that targets fill up.
      const auto what = *rc::gen::inRange(-4, static_cast<int>(step::kCount));
      run.Do(static_cast<step>(std::max(what, 0)), *rc::gen::inRange<size_t>(0, kTargets),
             *rc::gen::inRange<uint32_t>(0, 1000));
    }
    RC_ASSERT(run.IsServedInTheEnd());
  });
}

}  // namespace

TEST_GROUP(TargetPoolProperty){};

TEST(TargetPoolProperty, ExpectedFinish) { CHECK(HoldsFor(placement_policy::kExpectedFinish)); }
TEST(TargetPoolProperty, LeastOutstanding) { CHECK(HoldsFor(placement_policy::kLeastOutstanding)); }
TEST(TargetPoolProperty, RoundRobin) { CHECK(HoldsFor(placement_policy::kRoundRobin)); }
TEST(TargetPoolProperty, Random) { CHECK(HoldsFor(placement_policy::kRandom)); }

TEST(TargetPoolProperty, ReportsThatNoTargetCanEverRunATask) {
  placement_fixture fixture(1);
  CHECK(fixture.pool.CanEverRun("lights", {}));
  CHECK_FALSE(fixture.pool.CanEverRun("swarms", {}));
  target_requirements impossible;
  impossible.cores = 1000;
  CHECK_FALSE(fixture.pool.CanEverRun("lights", impossible));
  fixture.pool.SetAdmitted(TargetNamed(0), false, fixture.now);
  CHECK(fixture.pool.CanEverRun("lights", {}));
}

}  // namespace wagtail
