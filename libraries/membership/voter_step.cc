#include "membership/voter_step.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "base/verify.h"

namespace wagtail {

namespace {

bool IsGone(const voter& member, const entry_registry& entries) {
  const auto* known = entries.Find(member.name);
  return known == nullptr || !known->row || known->row->incarnation != member.incarnation ||
         known->row->state == entry_state::kStopped;
}

auto VotersIn(const voter_set& voters, const std::string& failure_domain) {
  return std::ranges::count(voters.members(), failure_domain, &voter::failure_domain);
}

std::optional<voter_set> WithoutOneGone(const voter_set& present, const entry_registry& entries) {
  auto gone = [&](const voter& member) { return IsGone(member, entries); };
  auto leaving = std::ranges::find_if(present.members(), gone);
  if (leaving == present.members().end() || present.size() == 1) {
    return std::nullopt;
  }
  auto members = present.members();
  std::erase(members, *leaving);
  return voter_set(std::move(members));
}

std::optional<voter_set> WithOneMore(const voter_set& present, const entry_registry& entries) {
  auto candidates = entries.Present();
  std::erase_if(candidates,
                [&](const entry_row& entry) { return present.Contains(entry.incarnation); });
  if (candidates.empty()) {
    return std::nullopt;
  }
  auto best = std::ranges::min_element(candidates, {}, [&](const entry_row& entry) {
    return std::tuple(VotersIn(present, entry.failure_domain), entry.name);
  });
  auto members = present.members();
  members.push_back({best->incarnation, best->name, best->failure_domain});
  return voter_set(std::move(members));
}

}  // namespace

std::optional<voter_set> NextVoters(const voter_set& present, const entry_registry& entries) {
  auto next = WithoutOneGone(present, entries);
  if (!next && present.size() < kMostVoters) {
    next = WithOneMore(present, entries);
  }
  VERIFY(!next || present.CheckStep(*next).ok());
  return next;
}

}  // namespace wagtail
