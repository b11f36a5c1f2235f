#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Which entries keep a link to which targets' daemons, so that the links of a large deployment
/// are few. Every process that knows the same entries and targets computes the same links.

namespace wagtail {

struct link_entry {
  std::string name;  ///< stays the same over restarts, so that a restart moves no link
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
/// there are, and each entry to at least one target of every service in every failure domain.
/// An entry or target that comes or goes moves few links besides its own.
/// @param per_target entries for each target; all if there are no more
/// @return the links, sorted
std::vector<link> ChooseLinks(std::span<const link_entry> entries,
                              std::span<const link_target> targets, std::size_t per_target);

/// @return names of the targets that `entry` is to be linked to, sorted; see ChooseLinks()
std::vector<std::string> ChooseSubset(std::string_view entry, std::span<const link_entry> entries,
                                      std::span<const link_target> targets, std::size_t per_target);

}  // namespace wagtail
