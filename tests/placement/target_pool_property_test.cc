#include <rapidcheck.h>

#include <algorithm>

#include "tests/placement/placement_fixture.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

constexpr size_t kTargets = 5;

/// Expected state of a target, tracked by the test itself.
struct model_target {
  bool announced = true;
  bool admitted = true;
  bool reachable = true;
  uint32_t outstanding = 0;
};

enum class step {
  kPick,
  kResult,
  kRefuse,
  kLose,
  kSetAdmitted,
  kSetReachable,
  kAnnounce,
  kAdvanceTime,
  kCount
};

class random_sequence {
 public:
  explicit random_sequence(const placement_options& options)
      : fixture_(kTargets, options), model_targets_(kTargets) {}

  void Apply(step what, size_t target, uint32_t detail) {
    model_target& known = model_targets_[target];
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
    } else if (what == step::kSetAdmitted && known.announced) {
      known.admitted = detail % 2 == 0;
      fixture_.pool.SetAdmitted(name, known.admitted, fixture_.now);
    } else if (what == step::kSetReachable && known.announced) {
      known.reachable = detail % 2 == 0;
      fixture_.pool.SetReachable(name, known.reachable, fixture_.now);
    } else if (what == step::kAnnounce) {
      Announce(target, detail % 2 == 0);
    } else if (what == step::kAdvanceTime) {
      fixture_.now += run;
    }
  }

  /// Ends every task.
  /// @return whether a waiting task is picked within a minute, or no target is usable
  bool IsEventuallyServed() {
    for (size_t target = 0; target < kTargets; ++target) {
      while (Conclude(model_targets_[target])) {
        fixture_.pool.OnLost(TargetNamed(target), fixture_.now);
      }
    }
    if (std::ranges::none_of(model_targets_, IsUsable)) {
      return true;
    }
    const instant deadline = fixture_.now + std::chrono::minutes(1);
    while (fixture_.now < deadline) {
      if (fixture_.pool.Pick("lights", {}, {}, fixture_.now).has_value()) {
        return true;
      }
      fixture_.now = fixture_.pool.NextWake(fixture_.now).value_or(deadline);
    }
    return false;
  }

 private:
  static bool IsUsable(const model_target& known) {
    return known.announced && known.admitted && known.reachable;
  }

  static bool Conclude(model_target& known) {
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
    model_target& known = model_targets_[static_cast<size_t>(picked->target.back() - '0')];
    RC_ASSERT(IsUsable(known));
    ++known.outstanding;
    RC_ASSERT(known.outstanding <= placement_fixture::kSlots + placement_options{}.local_queue);
    RC_ASSERT(known.outstanding == fixture_.pool.OutstandingAt(*picked));
  }

  void Announce(size_t target, bool announced) {
    if (announced && !model_targets_[target].announced) {
      fixture_.Add(target);
      model_targets_[target] = {.outstanding = model_targets_[target].outstanding};
    }
    if (!announced) {
      fixture_.pool.RemoveTarget(TargetNamed(target));
    }
    model_targets_[target].announced = announced;
  }

  placement_fixture fixture_;
  std::vector<model_target> model_targets_;
};

bool PropertiesHoldFor(placement_policy policy) {
  return rc::check([policy] {
    placement_options options;
    options.policy = policy;
    options.seed = *rc::gen::inRange<uint64_t>(0, 1000);
    random_sequence sequence(options);
    const auto length = *rc::gen::inRange<size_t>(0, 400);
    for (size_t position = 0; position < length; ++position) {
      // Picks are more frequent than the other steps, so that targets fill up.
      const auto what = *rc::gen::inRange(-4, static_cast<int>(step::kCount));
      sequence.Apply(static_cast<step>(std::max(what, 0)), *rc::gen::inRange<size_t>(0, kTargets),
                     *rc::gen::inRange<uint32_t>(0, 1000));
    }
    RC_ASSERT(sequence.IsEventuallyServed());
  });
}

}  // namespace

TEST_GROUP(TargetPoolProperty){};

TEST(TargetPoolProperty, ExpectedFinish) {
  CHECK(PropertiesHoldFor(placement_policy::kExpectedFinish));
}
TEST(TargetPoolProperty, LeastOutstanding) {
  CHECK(PropertiesHoldFor(placement_policy::kLeastOutstanding));
}
TEST(TargetPoolProperty, RoundRobin) { CHECK(PropertiesHoldFor(placement_policy::kRoundRobin)); }
TEST(TargetPoolProperty, Random) { CHECK(PropertiesHoldFor(placement_policy::kRandom)); }

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
