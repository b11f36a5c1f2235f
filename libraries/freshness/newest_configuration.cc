#include "freshness/newest_configuration.h"

#include <algorithm>

namespace wagtail {

void newest_configuration::OnTableRead(instant started, const table_changes& changes, instant now) {
  last_read_started_ =
      last_read_started_.has_value() ? std::max(*last_read_started_, started) : started;
  for (const table_row& row : changes.rows) {
    if (row.key == kConfigurationKey) {
      ReplaceIfNewer({.text = row.value.value_or(""), .revision = row.revision}, now);
    }
  }
}

void newest_configuration::ReplaceIfNewer(const configuration_row& row, instant now) {
  if (row.revision > row_.revision) {
    row_ = row;
    updated_at_ = now;
  }
}

bool newest_configuration::IsTableReadStale(instant now) const {
  return !last_read_started_.has_value() || now - *last_read_started_ > settings_.max_read_age;
}

std::optional<configuration_row> newest_configuration::NewerThan(uint64_t known_version) const {
  return row_.revision > known_version ? std::optional(row_) : std::nullopt;
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
  last.received_at = now;
}

bool newest_configuration::IsInContact(const confirmation& last, instant now) const {
  return last.received_at != instant{} && now - last.received_at <= settings_.contact_timeout;
}

bool newest_configuration::IsInForce(instant now) const {
  bool all_confirmed = std::ranges::none_of(targets_, [&](const auto& item) {
    return IsInContact(item.second, now) && item.second.version < version();
  });
  // Targets whose heartbeats reach only other entries confirm the version to those, so the timeout
  // must have passed as well.
  return version() > 0 && all_confirmed && now - updated_at_ >= settings_.contact_timeout;
}

std::vector<missing_target> newest_configuration::MissingTargets(instant now) const {
  std::vector<missing_target> missing;
  for (const auto& [target, last] : targets_) {
    bool in_contact = IsInContact(last, now);
    if (!in_contact || last.version < version()) {
      missing.push_back(
          {.name = target.target,
           .reason = in_contact ? missing_reason::kMayStillStart : missing_reason::kStartsNothing});
    }
  }
  return missing;
}

std::optional<duration> newest_configuration::ReadAge(instant now) const {
  return last_read_started_.has_value() ? std::optional(now - *last_read_started_) : std::nullopt;
}

}  // namespace wagtail
