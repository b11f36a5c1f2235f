#include "freshness/newest_configuration.h"

#include <algorithm>

namespace wagtail {

void newest_configuration::OnTableRead(instant started, const table_changes& changes, instant now) {
  read_ = read_.has_value() ? std::max(*read_, started) : started;
  for (const table_row& row : changes.rows) {
    if (row.key == kConfigurationKey) {
      TakeIfNewer({.text = row.value.value_or(""), .revision = row.revision}, now);
    }
  }
}

void newest_configuration::TakeIfNewer(const configuration_row& row, instant now) {
  if (row.revision > row_.revision) {
    row_ = row;
    taken_ = now;
  }
}

bool newest_configuration::IsTableReadStale(instant now) const {
  return !read_.has_value() || now - *read_ > settings_.reads_fail_after;
}

std::optional<configuration_row> newest_configuration::NewerThan(uint64_t have) const {
  return row_.revision > have ? std::optional(row_) : std::nullopt;
}

void newest_configuration::OnTargets(std::span<const target_incarnation> announced) {
  std::erase_if(targets_, [announced](const auto& item) {
    return std::ranges::find(announced, item.first) == announced.end();
  });
  for (const target_incarnation& target : announced) {
    targets_.try_emplace(target);
  }
}

void newest_configuration::OnTargetConfirmed(const target_incarnation& target, uint64_t version,
                                             instant now) {
  confirmation& last = targets_[target];
  last.version = std::max(last.version, version);
  last.heard = now;
}

bool newest_configuration::IsInTouch(const confirmation& last, instant now) const {
  return last.heard != instant{} && now - last.heard <= settings_.contact_limit;
}

bool newest_configuration::IsInForce(instant now) const {
  bool all_confirmed = std::ranges::none_of(targets_, [&](const auto& item) {
    return IsInTouch(item.second, now) && item.second.version < version();
  });
  // Targets that only other entries hear confirm to those.
  return version() > 0 && all_confirmed && now - taken_ >= settings_.contact_limit;
}

std::vector<missing_target> newest_configuration::MissingTargets(instant now) const {
  std::vector<missing_target> missing;
  for (const auto& [target, last] : targets_) {
    bool in_touch = IsInTouch(last, now);
    if (!in_touch || last.version < version()) {
      missing.push_back(
          {.name = target.target,
           .reason = in_touch ? missing_reason::kMayStillStart : missing_reason::kStartsNothing});
    }
  }
  return missing;
}

std::optional<duration> newest_configuration::ReadAge(instant now) const {
  return read_.has_value() ? std::optional(now - *read_) : std::nullopt;
}

}  // namespace wagtail
