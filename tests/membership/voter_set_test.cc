#include "membership/voter_set.h"

#include <rapidcheck.h>

#include <map>

#include "membership/membership_error.h"
#include "membership/voter_step.h"
#include "tests/membership/rows.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

voter Voter(uint64_t nonce) { return {{nonce}, "e" + std::to_string(nonce), "galle"}; }

voter_set Upto(uint64_t size) {
  std::vector<voter> members;
  for (uint64_t nonce = 1; nonce <= size; ++nonce) {
    members.push_back(Voter(nonce));
  }
  return voter_set(members);
}

entry_registry Registered(const std::vector<entry_row>& entries) {
  entry_registry registry;
  table_changes changes;
  for (const auto& entry : entries) {
    changes.rows.push_back(RowOf(entry, ++changes.revision));
  }
  registry.OnChanges(changes);
  return registry;
}

}  // namespace

TEST_GROUP(VoterSet){};

TEST(VoterSet, CountsAMajority) {
  auto first_two = [](entry_incarnation voter) { return voter.nonce <= 2; };
  CHECK(Upto(3).IsMajority(first_two));
  CHECK_FALSE(Upto(4).IsMajority(first_two));
  CHECK_FALSE(voter_set().IsMajority([](entry_incarnation) { return true; }));
}

TEST(VoterSet, ChangesByOneMemberAndNeverToNone) {
  CHECK(Upto(3).CheckStep(Upto(4)).ok());
  CHECK(Upto(4).CheckStep(Upto(3)).ok());
  for (const auto& next : {Upto(3), Upto(5), Upto(1), voter_set()}) {
    CHECK(ErrorOf<membership_error>(Upto(3).CheckStep(next)) == membership_error::kBadChange);
  }
  CHECK_FALSE(Upto(1).CheckStep(voter_set()).ok());
  CHECK_FALSE(Upto(1).CheckStep(voter_set({Voter(2)})).ok());
}

TEST(VoterSet, SharesAMemberBetweenMajoritiesOfSuccessiveSets) {
  rc::check("majorities of sets one step apart meet", [] {
    auto size = *rc::gen::inRange<uint64_t>(1, 9);
    auto chosen = *rc::gen::inRange<uint32_t>(0, 1U << 10);
    auto other = *rc::gen::inRange<uint32_t>(0, 1U << 10);
    auto in = [](uint32_t mask) {
      return [mask](entry_incarnation voter) { return ((mask >> voter.nonce) & 1U) != 0; };
    };
    RC_PRE(Upto(size).IsMajority(in(chosen)));
    RC_PRE(Upto(size + 1).IsMajority(in(other)));
    RC_ASSERT((chosen & other) != 0);
  });
}

TEST(VoterSet, ReadsWhatItWritesAndRejectsTheRest) {
  CHECK(*voter_set::Parse(Upto(3).Serialise()) == Upto(3));
  for (std::string_view bad : {"", "{}", "{\"members\": 3}", "{\"members\": [3]}"}) {
    CHECK(ErrorOf<membership_error>(voter_set::Parse(bad).status()) == membership_error::kBadRow);
  }
  std::string twice = R"({"members": [
    {"nonce": "0000000000000001", "name": "a", "failure_domain": ""},
    {"nonce": "0000000000000001", "name": "b", "failure_domain": ""}]})";
  CHECK_FALSE(voter_set::Parse(twice).ok());
}

TEST(VoterSet, RemovesVotersThatAreGoneBeforeItAddsOthers) {
  auto registry = Registered({Entry("e1", 1), Entry("e2", 22), Entry("e3", 3)});
  auto next = NextVoters(Upto(2), registry);  // e2 was restarted
  CHECK(*next == Upto(1));
  next = NextVoters(*next, registry);
  LONGS_EQUAL(2, next->size());
  next = NextVoters(*next, registry);
  LONGS_EQUAL(3, next->size());
  CHECK(next->Contains({22}));
  CHECK_FALSE(NextVoters(*next, registry).has_value());
}

TEST(VoterSet, IsSpreadOverFailureDomainsUpToItsLimit) {
  std::vector<entry_row> entries;
  for (uint64_t nonce = 1; nonce <= 30; ++nonce) {
    entries.push_back(Entry("e" + std::to_string(nonce), nonce, nonce <= 20 ? "galle" : "kandy"));
  }
  auto registry = Registered(entries);
  voter_set voters;
  while (auto next = NextVoters(voters, registry)) {
    voters = *next;
  }
  std::map<std::string, std::size_t> per_domain;
  for (const auto& member : voters.members()) {
    ++per_domain[member.failure_domain];
  }
  LONGS_EQUAL(kMostVoters, voters.size());
  CHECK(per_domain["galle"] >= 3 && per_domain["kandy"] >= 3);
}

}  // namespace wagtail
