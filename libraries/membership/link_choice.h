#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Chooses which entries keep a link to which targets' daemons, to limit the number of links in a
/// large deployment. Every process with the same entries and targets computes the same links.

namespace wagtail {

struct link_entry {
  std::string name;  ///< stable across restarts, so that a restart moves no link
  std::string failure_domain;
  bool operator==(const link_entry&) const = default;
};

struct link_target {
  std::string name;
  std::string service;
  std::string failure_domain;
  bool operator==(const link_target&) const = default;
};

struct link {
  std::string entry;
  std::string target;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads defaulted comparisons
  auto operator<=>(const link&) const = default;
};

/// Links each target to `per_target` entries by rendezvous hashing, in as many failure domains as
/// possible, and each entry to at least one target of every service in every failure domain.
/// Adding or removing an entry or target moves few links besides its own.
/// @param per_target number of entries for each target; all entries if there are fewer
/// @return the links, sorted
std::vector<link> ChooseLinks(std::span<const link_entry> entries,
                              std::span<const link_target> targets, std::size_t per_target);

/// @return names of the targets to which `entry` keeps links, sorted; see ChooseLinks()
std::vector<std::string> ChooseSubset(std::string_view entry, std::span<const link_entry> entries,
                                      std::span<const link_target> targets, std::size_t per_target);

}  // namespace wagtail
