#include "configuration/dependency_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace wagtail {

namespace {

std::string PathOf(std::string_view section, std::string_view name, std::string_view key) {
  return ChildPath(ChildPath(ChildPath("", section), name), key);
}

/// Reports names in `named` that are not services.
void CheckServicesExist(const configuration& checked, std::span<const std::string> named,
                        std::string_view path, object_reader& root) {
  for (const std::string& service : named) {
    if (!checked.services.contains(service)) {
      root.Add({.path = std::string(path),
                .value = absl::StrCat("\"", Shown(service), "\""),
                .allowed = "names of /services"});
    }
  }
}

/// Depth-first search that reports each dependency that closes a cycle.
class cycle_finder {
 public:
  cycle_finder(const configuration& checked, object_reader& root)
      : checked_(checked), root_(root) {}

  void Visit(const std::string& service) {
    const auto found = checked_.services.find(service);
    if (found == checked_.services.end() || done_.contains(service)) {
      return;
    }
    const auto repeated = std::ranges::find(path_, service);
    if (repeated != path_.end()) {
      ReportCycle(std::span(repeated, path_.end()));
      return;
    }
    path_.push_back(service);
    for (const std::string& dependency : found->second.depends_on) {
      Visit(dependency);
    }
    path_.pop_back();
    done_.insert(service);
  }

 private:
  void ReportCycle(std::span<const std::string> cycle) {
    root_.Add(
        {.path = PathOf("services", cycle.back(), "depends_on"),
         .value = absl::StrCat("the cycle ", absl::StrJoin(cycle, " -> "), " -> ", cycle.front()),
         .allowed = "dependencies without a cycle"});
  }

  const configuration& checked_;
  object_reader& root_;
  std::vector<std::string> path_;
  std::set<std::string, std::less<>> done_;
};

void CheckDependencies(const configuration& checked, object_reader& root) {
  cycle_finder finder(checked, root);
  for (const auto& [name, service] : checked.services) {
    CheckServicesExist(checked, service.depends_on, PathOf("services", name, "depends_on"), root);
    finder.Visit(name);
  }
}

/// Reports tokens that two teams or operators share.
class token_registry {
 public:
  explicit token_registry(object_reader& root) : root_(root) {}

  void Add(const std::string& digest, std::string_view section, std::string_view name) {
    if (digest.empty()) {
      return;  // Already reported as missing or malformed.
    }
    const std::string path = PathOf(section, name, "token_sha256");
    const auto [first, inserted] = paths_.emplace(digest, path);
    if (!inserted) {
      root_.Add({.path = path,
                 .value = "the same token as at " + first->second,
                 .allowed = "a token of its own for each team and operator"});
    }
  }

 private:
  object_reader& root_;
  std::map<std::string, std::string> paths_;
};

void CheckTokens(const configuration& checked, object_reader& root) {
  token_registry tokens(root);
  for (const auto& [name, team] : checked.teams) {
    tokens.Add(team.token_digest, "teams", name);
  }
  for (const auto& [name, holder] : checked.operators) {
    tokens.Add(holder.token_digest, "operators", name);
  }
}

}  // namespace

void CheckReferences(const configuration& checked, object_reader& root) {
  CheckDependencies(checked, root);
  for (const auto& [name, team] : checked.teams) {
    CheckServicesExist(checked, team.services, PathOf("teams", name, "services"), root);
  }
  CheckTokens(checked, root);
}

}  // namespace wagtail
