#include "membership/voter_set.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/layer_error.h"
#include "base/verify.h"
#include "membership/membership_error.h"
#include "membership/row_text.h"

namespace wagtail {

namespace {

absl::StatusOr<voter> ParseMember(const nlohmann::json& member) {
  if (!member.is_object()) {
    return MakeError(membership_error::kBadRow, "a voter is not an object");
  }
  voter result;
  result.incarnation = TRY(ReadNonce(member, "nonce"));
  result.name = TRY(ReadText(member, "name"));
  result.failure_domain = TRY(ReadText(member, "failure_domain"));
  return result;
}

}  // namespace

voter_set::voter_set(std::vector<voter> members) : members_(std::move(members)) {
  std::ranges::sort(members_, {}, &voter::incarnation);
  VERIFY(std::ranges::adjacent_find(members_, {}, &voter::incarnation) == members_.end());
}

absl::StatusOr<voter_set> voter_set::Parse(std::string_view text) {
  nlohmann::json row = TRY(ParseRowText(text));
  auto list = row.find("members");
  if (list == row.end() || !list->is_array()) {
    return MakeError(membership_error::kBadRow, "the voters row has no list of members");
  }
  std::vector<voter> members;
  for (const auto& item : *list) {
    members.push_back(TRY(ParseMember(item)));
  }
  std::ranges::sort(members, {}, &voter::incarnation);
  if (std::ranges::adjacent_find(members, {}, &voter::incarnation) != members.end()) {
    return MakeError(membership_error::kBadRow, "a voter is listed twice");
  }
  return voter_set(std::move(members));
}

std::string voter_set::Serialise() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& member : members_) {
    list.push_back({{"nonce", NonceText(member.incarnation)},
                    {"name", member.name},
                    {"failure_domain", member.failure_domain}});
  }
  return nlohmann::json{{"members", std::move(list)}}.dump();
}

bool voter_set::Contains(entry_incarnation incarnation) const {
  return std::ranges::binary_search(members_, incarnation, {}, &voter::incarnation);
}

bool voter_set::IsMajority(const std::function<bool(entry_incarnation)>& holds) const {
  auto counted = std::ranges::count_if(members_, holds, &voter::incarnation);
  return static_cast<std::size_t>(counted) >= Majority();
}

absl::Status voter_set::CheckStep(const voter_set& next) const {
  std::vector<voter> differing;
  std::ranges::set_symmetric_difference(members_, next.members_, std::back_inserter(differing), {},
                                        &voter::incarnation, &voter::incarnation);
  if (differing.size() != 1) {
    return MakeError(membership_error::kBadChange, "the set of voters changes by one at a time");
  }
  if (next.empty()) {
    return MakeError(membership_error::kBadChange, "the last voter is never removed");
  }
  return absl::OkStatus();
}

}  // namespace wagtail
