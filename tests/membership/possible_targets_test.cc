#include "membership/possible_targets.h"

#include <rapidcheck.h>

#include <algorithm>

#include "tests/membership/rows.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

/// The rows of a few targets as transactions write them, with every state kept to look back on.
class target_history {
 public:
  void Step(const std::string& name, bool retire) {
    ++revision_;
    auto& lives = rows_[name];
    target_row row = CourtTarget(name);
    if (lives.empty()) {
      lives.push_back({row, revision_});
    } else if (retire && lives.back().row.state == announcement_state::kAnnounced) {
      lives.push_back({Retirement(lives.back()), revision_});
    } else {
      lives.push_back({*NextAnnouncement(row, lives.back()), revision_});
    }
  }

  /// @return the incarnation announced when the table had `revision`, if any
  std::optional<target_incarnation> At(const std::string& name, uint64_t revision) const {
    std::optional<target_incarnation> result;
    for (const auto& [row, written] : rows_.at(name)) {
      if (written <= revision) {
        result.reset();
        if (row.state == announcement_state::kAnnounced) {
          result = row.incarnation;
        }
      }
    }
    return result;
  }

  /// @return what a reader sees who reads for the first time now
  table_changes Newest() const {
    table_changes changes{revision_, {}};
    for (const auto& [name, lives] : rows_) {
      changes.rows.push_back(RowOf(lives.back().row, lives.back().revision));
    }
    return changes;
  }

  const std::map<std::string, std::vector<recorded_target_row>>& rows() const { return rows_; }
  uint64_t revision() const { return revision_; }

 private:
  uint64_t revision_ = 0;
  std::map<std::string, std::vector<recorded_target_row>> rows_;
};

}  // namespace

TEST_GROUP(PossibleTargets){};

TEST(PossibleTargets, IncludeEveryIncarnationAtTheRevision) {
  rc::check("each incarnation of then is present or its target is lost", [] {
    target_history history;
    auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::arbitrary<bool>()));
    for (auto [target, retire] : steps) {
      history.Step("t" + std::to_string(target), retire);
    }
    auto minted_at = *rc::gen::inRange<uint64_t>(0, history.revision() + 1);
    target_registry registry;
    registry.OnChanges(history.Newest());
    auto places = PossibleTargets(registry, "court", minted_at);
    for (const auto& [name, lives] : history.rows()) {
      auto was = history.At(name, minted_at);
      bool listed = std::ranges::any_of(
          places.present, [&](const target_row& row) { return row.incarnation == was; });
      bool lost = std::ranges::count(places.lost, name) > 0;
      RC_ASSERT(!was || listed || lost);
      RC_ASSERT(!(listed && lost));
    }
    for (const auto& row : places.present) {
      RC_ASSERT(history.At(row.incarnation.target, minted_at) == row.incarnation);
    }
  });
}

TEST(PossibleTargets, IgnoreTargetsAnnouncedLater) {
  target_row first = CourtTarget("new");
  target_row second = *NextAnnouncement(first, recorded_target_row{first, 20});
  target_registry registry;
  registry.OnChanges({30, {RowOf(CourtTarget("old"), 5), RowOf(second, 30)}});
  auto places = PossibleTargets(registry, "court", 10);
  CHECK(places.CanProveNotRun());
  LONGS_EQUAL(1, places.present.size());
  CHECK_FALSE(PossibleTargets(registry, "court", 25).CanProveNotRun());
  CHECK(PossibleTargets(registry, "court", 30).CanProveNotRun());
}

TEST(PossibleTargets, FilterByServiceAndLinks) {
  target_row other = CourtTarget("other");
  other.service = "swarm";
  target_registry registry;
  registry.OnChanges(
      {5, {RowOf(CourtTarget("a"), 1), RowOf(CourtTarget("b"), 2), RowOf(other, 3)}});
  LONGS_EQUAL(2, PossibleTargets(registry, "court", 5).present.size());
  auto linked = [](std::string_view target) { return target == "b"; };
  LONGS_EQUAL(1, PossibleTargets(registry, "court", 5, linked).present.size());
}

TEST(PossibleTargets, ProveNothingFromAStaleOrUnreadableRegistry) {
  target_registry registry;
  registry.OnChanges({5, {RowOf(CourtTarget("a"), 1)}});
  CHECK_FALSE(PossibleTargets(registry, "court", 6).CanProveNotRun());
  registry.OnChanges({6, {{"target/b", 6, "unreadable"}}});
  CHECK_FALSE(PossibleTargets(registry, "court", 6).CanProveNotRun());
}

}  // namespace wagtail
