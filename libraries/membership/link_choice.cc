#include "membership/link_choice.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "base/identifiers.h"

namespace wagtail {

namespace {

struct hashed_entry {
  const link_entry* entry = nullptr;
  uint64_t digest = 0;
};

struct ranked_entry {
  uint64_t score = 0;
  const link_entry* entry = nullptr;
};

/// Targets of one service in one failure domain.
struct target_group {
  std::vector<const link_target*> targets;
  std::set<std::string_view> linked_entries;
};

using group_key = std::pair<std::string_view, std::string_view>;

/// Finaliser of splitmix64: each input bit flips every output bit with probability 1/2.
uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

uint64_t Score(uint64_t entry_digest, uint64_t target_digest) {
  return Mix(entry_digest ^ Mix(target_digest));
}

std::vector<hashed_entry> Hash(std::span<const link_entry> entries) {
  std::vector<hashed_entry> hashed;
  for (const auto& entry : entries) {
    hashed.push_back({&entry, DigestOf(entry.name)});
  }
  return hashed;
}

std::vector<ranked_entry> Rank(const link_target& target, std::span<const hashed_entry> entries) {
  uint64_t digest = DigestOf(target.name);
  std::vector<ranked_entry> ranked;
  for (const auto& hashed : entries) {
    ranked.push_back({Score(hashed.digest, digest), hashed.entry});
  }
  std::ranges::sort(ranked, std::greater<>(), &ranked_entry::score);
  return ranked;
}

/// Picks the best entry of each failure domain first, then the best of the rest.
std::vector<const link_entry*> PickEntries(std::span<const ranked_entry> ranked,
                                           std::size_t wanted) {
  std::set<std::string_view> domains;
  std::vector<const link_entry*> picked;
  std::vector<const link_entry*> rest;
  for (const auto& candidate : ranked) {
    bool is_new_domain = domains.insert(candidate.entry->failure_domain).second;
    (is_new_domain ? picked : rest).push_back(candidate.entry);
  }
  picked.insert(picked.end(), rest.begin(), rest.end());
  picked.resize(std::min(wanted, picked.size()));
  return picked;
}

const link_target& BestTarget(const target_group& group, uint64_t entry_digest) {
  return **std::ranges::max_element(group.targets, {}, [&](const link_target* target) {
    return Score(entry_digest, DigestOf(target->name));
  });
}

void AddMissing(const target_group& group, std::span<const hashed_entry> entries,
                std::vector<link>& links) {
  for (const auto& hashed : entries) {
    if (!group.linked_entries.contains(hashed.entry->name)) {
      links.push_back({hashed.entry->name, BestTarget(group, hashed.digest).name});
    }
  }
}

}  // namespace

std::vector<link> ChooseLinks(std::span<const link_entry> entries,
                              std::span<const link_target> targets, std::size_t per_target) {
  auto hashed = Hash(entries);
  std::vector<link> links;
  std::map<group_key, target_group> groups;
  for (const auto& target : targets) {
    auto& group = groups[{target.service, target.failure_domain}];
    group.targets.push_back(&target);
    for (const link_entry* entry : PickEntries(Rank(target, hashed), per_target)) {
      group.linked_entries.insert(entry->name);
      links.push_back({entry->name, target.name});
    }
  }
  for (const auto& [key, group] : groups) {
    AddMissing(group, hashed, links);
  }
  std::ranges::sort(links);
  return links;
}

std::vector<std::string> ChooseSubset(std::string_view entry, std::span<const link_entry> entries,
                                      std::span<const link_target> targets,
                                      std::size_t per_target) {
  std::vector<std::string> names;
  for (auto& chosen : ChooseLinks(entries, targets, per_target)) {
    if (chosen.entry == entry) {
      names.push_back(std::move(chosen.target));
    }
  }
  return names;
}

}  // namespace wagtail
