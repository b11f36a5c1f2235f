#include "membership/link_choice.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

constexpr std::size_t kPerTarget = 3;

std::vector<link_entry> Entries(int count, int domains) {
  std::vector<link_entry> entries;
  entries.reserve(count);
  for (int i = 0; i < count; ++i) {
    entries.push_back({"entry-" + std::to_string(i), "d" + std::to_string(i % domains)});
  }
  return entries;
}

std::vector<link_target> Targets(int count, int domains, int services) {
  std::vector<link_target> targets;
  targets.reserve(count);
  for (int i = 0; i < count; ++i) {
    targets.push_back({"target-" + std::to_string(i), "s" + std::to_string(i / domains % services),
                       "d" + std::to_string(i % domains)});
  }
  return targets;
}

std::size_t Moved(const std::vector<link>& before, const std::vector<link>& after) {
  std::vector<link> moved;
  std::ranges::set_symmetric_difference(before, after, std::back_inserter(moved));
  return moved.size();
}

}  // namespace

TEST_GROUP(LinkChoice) {
  std::vector<link_entry> entries_ = Entries(30, 10);
  std::vector<link_target> targets_ = Targets(3400, 10, 10);
};

TEST(LinkChoice, GivesEachDaemonAboutThreeEntriesAndEachEntryEveryDomainAndService) {
  auto links = ChooseLinks(entries_, targets_, kPerTarget);
  std::map<std::string, std::size_t> per_target;
  std::map<std::string, std::size_t> per_entry;
  std::map<std::string, std::set<std::string>> groups;
  std::map<std::string, std::string> group_of;
  for (const auto& target : targets_) {
    group_of[target.name] = target.service + "/" + target.failure_domain;
  }
  for (const auto& [entry, target] : links) {
    ++per_target[target];
    ++per_entry[entry];
    groups[entry].insert(group_of[target]);
  }
  LONGS_EQUAL(3400, per_target.size());
  CHECK(links.size() <= 3400 * kPerTarget * 105 / 100);
  for (const auto& [target, count] : per_target) {
    CHECK(count >= kPerTarget && count <= 2 * kPerTarget);
  }
  for (const auto& [entry, count] : per_entry) {
    CHECK(count > 250 && count < 450);
    LONGS_EQUAL(100, groups[entry].size());
  }
}

TEST(LinkChoice, SpreadsTheEntriesOfATargetOverFailureDomains) {
  std::map<std::string, std::string> domain_of;
  for (const auto& entry : entries_) {
    domain_of[entry.name] = entry.failure_domain;
  }
  std::map<std::string, std::set<std::string>> domains;
  for (const auto& [entry, target] : ChooseLinks(entries_, targets_, kPerTarget)) {
    domains[target].insert(domain_of[entry]);
  }
  for (const auto& [target, spread] : domains) {
    CHECK(spread.size() >= kPerTarget);
  }
}

TEST(LinkChoice, MovesFewLinksWhenAnEntryGoes) {
  auto before = ChooseLinks(entries_, targets_, kPerTarget);
  auto gone = entries_[7].name;
  auto own = static_cast<std::size_t>(std::ranges::count(before, gone, &link::entry));
  std::erase_if(entries_, [&](const link_entry& entry) { return entry.name == gone; });
  auto moved = Moved(before, ChooseLinks(entries_, targets_, kPerTarget));
  // Its own links go and as many come in their place; a few more fill or free a gap in a group.
  CHECK(moved <= 2 * own + own / 5);
}

TEST(LinkChoice, MovesFewLinksWhenATargetGoes) {
  auto before = ChooseLinks(entries_, targets_, kPerTarget);
  targets_.erase(targets_.begin() + 1234);
  CHECK(Moved(before, ChooseLinks(entries_, targets_, kPerTarget)) <= 4 * kPerTarget);
}

TEST(LinkChoice, IgnoresInputOrderAndLinksAllWhereThereAreFew) {
  auto links = ChooseLinks(entries_, targets_, kPerTarget);
  std::ranges::reverse(entries_);
  std::ranges::reverse(targets_);
  CHECK(links == ChooseLinks(entries_, targets_, kPerTarget));
  LONGS_EQUAL(24, ChooseLinks(Entries(2, 2), Targets(12, 3, 1), kPerTarget).size());
  CHECK(ChooseLinks({}, targets_, kPerTarget).empty());
}

TEST(LinkChoice, GivesAnEntryItsOwnLinksAlone) {
  auto subset = ChooseSubset("entry-3", entries_, targets_, kPerTarget);
  auto links = ChooseLinks(entries_, targets_, kPerTarget);
  LONGS_EQUAL(std::ranges::count(links, "entry-3", &link::entry), subset.size());
}

}  // namespace wagtail
